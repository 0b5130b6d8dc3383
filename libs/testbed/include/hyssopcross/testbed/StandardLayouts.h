#ifndef HYSSOPCROSS_TESTBED_STANDARDLAYOUTS_H
#define HYSSOPCROSS_TESTBED_STANDARDLAYOUTS_H

#include "hyssopcross/testbed/Layout.h"

namespace hyssopcross::testbed {

/// The sizes of a site with one lookup service in three data centres.
struct SiteSize {
  std::string m_Name;
  std::string m_Service;
  uint32_t m_Servers = 0;
  uint32_t m_Slots = 0;
  uint32_t m_Connections = 0;
  uint32_t m_Entries = 0;
  Duration m_Crossing{};
};

/// Ten servers with two slots, 1.5 ms between data centres.
SiteSize cooperativaSize();

/// Fifteen servers with three slots, 1 ms between data centres.
SiteSize kilimaSize();

/// Calls per second that all servers of the site can serve.
double capacityOf(const SiteSize &Size);

/// The site under a load given as a share of its capacity, with callers spread
/// evenly over its data centres dc1, dc2 and dc3. Entry VMs are named dc1-e1,
/// servers dc1-s1, and so on.
Layout siteLayout(const SiteSize &Size, double Load, uint64_t Seed);

} // namespace hyssopcross::testbed

#endif
