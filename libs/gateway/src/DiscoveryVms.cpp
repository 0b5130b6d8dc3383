// Discovery of the other entry VMs.
#include "DiscoveryClient.h"
#include "StoreCalls.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/base/Recovery.h"

namespace hyssopcross::gateway {

namespace {

using boost::system::error_code;

/// Interval of the checks whether this VM must register or knows no other VM.
constexpr Duration VmDiscoveryInterval = std::chrono::seconds(2);

} // namespace

// VMs discover each other through the seed hosts in their settings. If those
// are gone, the store lists the followers, which know all other VMs.
void DiscoveryClient::discoverVms() {
  bool IsAlone = true;
  for (const auto &[Host, Known] : m_State.m_Fleet.m_Peers)
    IsAlone = IsAlone && !Known.m_Heard;
  if (m_IsFollower && !m_IsRegistered)
    return registerVm();
  if (IsAlone)
    return listVms();
  scheduleVmDiscovery();
}

void DiscoveryClient::scheduleVmDiscovery() {
  m_RegisterTimer.expires_after(VmDiscoveryInterval);
  m_RegisterTimer.async_wait([this](const error_code &Ended) {
    if (!Ended)
      runWithRecovery([this] { discoverVms(); },
                      [this] { scheduleVmDiscovery(); });
  });
}

void DiscoveryClient::retryLater(void (DiscoveryClient::*What)()) {
  m_RegisterTimer.expires_after(
      discovery::onCallFailed(m_RegisterPace, m_State.draw()));
  m_RegisterTimer.async_wait([this, What](const error_code &Ended) {
    if (!Ended)
      runWithRecovery([this, What] { (this->*What)(); },
                      [this] { scheduleVmDiscovery(); });
  });
}

void DiscoveryClient::registerVm() {
  m_State.m_Metrics.count("store_write");
  m_State.m_Client.send(
      m_State.m_Settings.m_Store,
      std::make_shared<http::Request>(
          m_State.m_PlatformCodec.m_EncodeRegisterVm(
              m_State.m_Settings.m_Host)),
      std::chrono::seconds(30), nullptr,
      [this, Before = m_ErasBegan](const http::ExchangeResult &Result) {
        // The store has lost what was written before it began an era.
        m_IsRegistered = Result.m_End == http::ExchangeEnd::Answered &&
                         Result.m_Answer.result_int() == 200 &&
                         m_ErasBegan == Before;
        if (!m_IsRegistered)
          return retryLater(&DiscoveryClient::registerVm);
        listVms();
      });
}

void DiscoveryClient::listVms() {
  m_State.m_Metrics.count("store_read");
  m_State.m_Client.send(
      m_State.m_Settings.m_Store,
      std::make_shared<http::Request>(
          m_State.m_PlatformCodec.m_EncodeListVms({})),
      std::chrono::seconds(30), nullptr,
      [this](const http::ExchangeResult &Result) {
        if (Result.m_End != http::ExchangeEnd::Answered)
          return retryLater(&DiscoveryClient::listVms);
        auto Batch = m_State.m_PlatformCodec.m_DecodeRows(Result.m_Answer);
        if (!Batch)
          return retryLater(&DiscoveryClient::listVms);
        for (const discovery::Row &Each : Batch.value().m_Rows)
          m_Fleet.greet(Each.m_Key);
        logEvent(LogLevel::Info, "vms_listed",
                 {{"count", Batch.value().m_Rows.size()}});
        discovery::onCallSucceeded(m_RegisterPace);
        scheduleVmDiscovery();
      });
}

} // namespace hyssopcross::gateway
