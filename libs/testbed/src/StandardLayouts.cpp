#include "hyssopcross/testbed/StandardLayouts.h"

namespace hyssopcross::testbed {

namespace {

constexpr uint32_t DataCentres = 3;
constexpr Duration MeanWork = std::chrono::milliseconds(10);
constexpr uint32_t Backlog = 32;
constexpr uint32_t EntryVms = 15;

std::string dataCentreName(uint32_t Index) {
  return "dc" + std::to_string(Index % DataCentres + 1);
}

std::string partName(uint32_t Index, char Kind) {
  return dataCentreName(Index) + "-" + Kind +
         std::to_string(Index / DataCentres + 1);
}

} // namespace

SiteSize cooperativaSize() {
  return {"cooperativa",
          "boletas",
          10,
          2,
          200,
          EntryVms,
          std::chrono::microseconds(1500)};
}

SiteSize kilimaSize() {
  return {
      "kilima", "sizer", 15, 3, 250, EntryVms, std::chrono::milliseconds(1)};
}

double capacityOf(const SiteSize &Size) {
  std::chrono::duration<double> Mean = MeanWork;
  return Size.m_Servers * Size.m_Slots / Mean.count();
}

Layout siteLayout(const SiteSize &Size, double Load, uint64_t Seed) {
  Layout Site;
  Site.m_Seed = Seed;
  Site.m_Timing.m_Crossing = Size.m_Crossing;
  ServiceLayout Service;
  Service.m_Entry.m_Name = Size.m_Service;
  Service.m_Entry.m_Limits.m_Slots = Size.m_Slots;
  Service.m_Entry.m_Limits.m_Connections = Size.m_Connections;
  Service.m_MeanWork = MeanWork;
  Service.m_Backlog = Backlog;
  Site.m_Services = {Service};
  for (uint32_t I = 0; I < Size.m_Entries; ++I)
    Site.m_Entries.push_back({partName(I, 'e'), dataCentreName(I)});
  for (uint32_t I = 0; I < Size.m_Servers; ++I)
    Site.m_Servers.push_back(
        {partName(I, 's'), Size.m_Service, dataCentreName(I), false});
  for (uint32_t I = 0; I < DataCentres; ++I) {
    Site.m_DataCentres.push_back(dataCentreName(I));
    LoadLayout From;
    From.m_Service = Size.m_Service;
    From.m_DataCentre = dataCentreName(I);
    From.m_CallsPerSecond = capacityOf(Size) * Load / DataCentres;
    Site.m_Loads.push_back(From);
  }
  return Site;
}

} // namespace hyssopcross::testbed
