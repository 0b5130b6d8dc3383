#ifndef HYSSOPCROSS_MEMBERSHIP_RENDEZVOUS_H
#define HYSSOPCROSS_MEMBERSHIP_RENDEZVOUS_H

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::membership {

/// The weight of a node for a key in rendezvous hashing. Must be the same on
/// every VM and in every version of the program.
uint64_t rendezvousWeight(std::string_view Key, std::string_view Node);

/// The nodes in descending order of weight for the key, at most Limit of them.
/// Nodes with equal weights are ordered by name.
std::vector<std::string> rankByRendezvous(std::string_view Key,
                                          std::span<const std::string> Nodes,
                                          size_t Limit);

} // namespace hyssopcross::membership

#endif
