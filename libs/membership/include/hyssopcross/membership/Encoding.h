#ifndef HYSSOPCROSS_MEMBERSHIP_ENCODING_H
#define HYSSOPCROSS_MEMBERSHIP_ENCODING_H

#include <cstddef>
#include <cstdint>
#include <string_view>

/// Sizes in the Thrift compact protocol, from which the sizes of messages
/// between entry VMs are worked out. Each includes the header of its field.
namespace hyssopcross::membership {

/// Groups of seven bits that hold the value.
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

/// A field that holds a truth value.
constexpr size_t FlagField = 1;

/// A field that holds an enumerator.
constexpr size_t EnumField = 2;

/// The field and list header of a list; its elements come on top.
constexpr size_t listField(size_t Elements) {
  return Elements < 15 ? 2 : 2 + varintSize(Elements);
}

/// The field header of a structure.
constexpr size_t StructField = 1;

/// The end of a structure.
constexpr size_t StructEnd = 1;

} // namespace hyssopcross::membership

#endif
