#include "hyssopcross/membership/Rendezvous.h"
#include <algorithm>
#include <xxhash.h>

namespace hyssopcross::membership {

uint64_t rendezvousWeight(std::string_view Key, std::string_view Node) {
  uint64_t Seed = XXH64(Key.data(), Key.size(), 0);
  return XXH64(Node.data(), Node.size(), Seed);
}

std::vector<std::string> rankByRendezvous(std::string_view Key,
                                          std::span<const std::string> Nodes,
                                          size_t Limit) {
  struct Weighted {
    uint64_t m_Weight;
    const std::string *m_Name;
  };
  uint64_t Seed = XXH64(Key.data(), Key.size(), 0);
  std::vector<Weighted> Order;
  Order.reserve(Nodes.size());
  for (const std::string &Node : Nodes)
    Order.push_back({XXH64(Node.data(), Node.size(), Seed), &Node});
  size_t Count = std::min(Limit, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end(), [](const Weighted &A, const Weighted &B) {
                      if (A.m_Weight != B.m_Weight)
                        return A.m_Weight > B.m_Weight;
                      return *A.m_Name < *B.m_Name;
                    });
  std::vector<std::string> Names;
  Names.reserve(Count);
  for (size_t Index = 0; Index < Count; ++Index)
    Names.push_back(*Order[Index].m_Name);
  return Names;
}

} // namespace hyssopcross::membership
