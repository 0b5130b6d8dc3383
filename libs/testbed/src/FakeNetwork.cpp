#include "hyssopcross/testbed/FakeNetwork.h"

namespace hyssopcross::testbed {

namespace {

bool matches(const std::string &Name, const Party &Party) {
  return Name == Party.m_Name || Name == Party.m_DataCentre;
}

} // namespace

std::optional<Duration> FakeNetwork::delay(const Party &From,
                                           const Party &To) const {
  bool Near = From.m_DataCentre == To.m_DataCentre;
  Duration Delay = Near ? m_Timing.m_Local : m_Timing.m_Crossing;
  for (const Active &Active : m_Active) {
    const Disturbance &Known = Active.m_Disturbance;
    if (!matches(Known.m_From, From) || !matches(Known.m_To, To))
      continue;
    if (Known.m_Cut)
      return std::nullopt;
    Delay += Known.m_Delay;
  }
  return Delay;
}

uint64_t FakeNetwork::disturb(Disturbance Disturbance) {
  m_Active.push_back({++m_LastId, std::move(Disturbance)});
  return m_LastId;
}

void FakeNetwork::restore(uint64_t Id) {
  std::erase_if(m_Active,
                [Id](const Active &Active) { return Active.m_Id == Id; });
}

} // namespace hyssopcross::testbed
