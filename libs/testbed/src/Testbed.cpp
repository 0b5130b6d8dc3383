#include "hyssopcross/testbed/Testbed.h"
#include "World.h"

namespace hyssopcross::testbed {

Testbed::Testbed(Layout Layout)
    : m_World(std::make_unique<World>(std::move(Layout))),
      m_Start(m_World->m_Queue.now()) {}

Testbed::~Testbed() = default;

void Testbed::at(Duration SinceStart, Fault Fault) {
  m_World->m_Queue.at(m_Start + SinceStart, [this, Fault = std::move(Fault)] {
    m_World->apply(Fault);
  });
}

void Testbed::runUntil(Duration SinceStart) {
  m_World->m_Queue.runUntil(m_Start + SinceStart);
}

const Ledger &Testbed::ledger() const { return m_World->m_Ledger; }

uint32_t Testbed::warmSlots(const std::string &Service) const {
  uint32_t Slots = 0;
  for (const auto &[Name, Server] : m_World->m_Servers) {
    const ServerLayout &Layout = Server->layout();
    bool Out = m_World->m_DataCentresOut.contains(Layout.m_DataCentre);
    if (Layout.m_Service == Service && Server->isUp() && !Server->isCold() &&
        !Out)
      Slots += m_World->entryFor(Service).m_Limits.m_Slots;
  }
  return Slots;
}

std::string Testbed::ownerOf(const balancing::PoolId &Pool) const {
  std::optional<size_t> Owner = m_World->ownerOf(Pool);
  return Owner ? m_World->m_Entries[*Owner]->layout().m_Name : std::string();
}

} // namespace hyssopcross::testbed
