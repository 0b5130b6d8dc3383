#ifndef HYSSOPCROSS_PEER_SRC_LIMITS_H
#define HYSSOPCROSS_PEER_SRC_LIMITS_H

#include <cstdint>

namespace hyssopcross::peer {

/// Most bytes of a text in a message; the longest is a catalogue.
inline constexpr int32_t MaxTextBytes = 16 * 1024 * 1024;
/// Most entries of a list in a message; the longest name all entry VMs or all
/// backend servers. Thrift makes room for as many as a list claims.
inline constexpr int32_t MaxListEntries = 16384;

} // namespace hyssopcross::peer

#endif
