#ifndef HYSSOPCROSS_MEMBERSHIP_ENCODING_H
#define HYSSOPCROSS_MEMBERSHIP_ENCODING_H

#include <cstddef>
#include <cstdint>
#include <string_view>

/// Sizes of fields in the Thrift compact protocol, used to compute the sizes of
/// messages between entry VMs. Each size includes the field header.
namespace hyssopcross::membership {

/// Bytes in the varint encoding of the value, seven bits per byte.
constexpr size_t varintSize(uint64_t Value) {
  size_t Bytes = 1;
  while (Value >= 0x80U) {
    Value >>= 7U;
    ++Bytes;
  }
  return Bytes;
}

/// A field that holds a string or bytes.
constexpr size_t stringField(std::string_view Text) {
  return 1 + varintSize(Text.size()) + Text.size();
}

/// A field that holds an integer.
constexpr size_t integerField(uint64_t Value) { return 1 + varintSize(Value); }

/// A field that holds a boolean.
constexpr size_t FlagField = 1;

/// A field that holds an enumerator.
constexpr size_t EnumField = 2;

/// The field header and list header of a list, without its elements.
constexpr size_t listField(size_t Elements) {
  return Elements < 15 ? 2 : 2 + varintSize(Elements);
}

/// The field header of a structure.
constexpr size_t StructField = 1;

/// The stop byte of a structure.
constexpr size_t StructEnd = 1;

} // namespace hyssopcross::membership

#endif
