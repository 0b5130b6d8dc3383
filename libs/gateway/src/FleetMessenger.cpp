#include "FleetMessenger.h"
#include "hyssopcross/base/Log.h"
#include "hyssopcross/base/Recovery.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace hyssopcross::gateway {

namespace {

using boost::asio::ip::udp;
using boost::system::error_code;
using fleet::DatagramKind;

/// How long health check results wait so that several share a datagram.
/// In-flight counts are sent without delay: until they arrive, two VMs may
/// claim the same slot.
constexpr Duration BatchTime = std::chrono::milliseconds(1);
/// Largest size of a datagram with rows; for larger batches the rows are only
/// announced, and the receivers fetch them.
constexpr size_t MaxRowBytes = 12288;
/// How long suspects are repeated in heartbeats, in case a datagram is lost.
constexpr Duration SuspectRepeatTime = std::chrono::seconds(3);
/// Notices of servers in the reply to a greeting, some 30 bytes each.
constexpr size_t MaxGreetingNotices = 200;
/// Largest size of the suspects in a datagram of their own, and in a heartbeat.
constexpr size_t MaxSuspectBytes = 12288;
constexpr size_t MaxHeartbeatSuspectBytes = 4096;

DatagramDestination destinationOf(const fleet::Fleet &State,
                                  const std::string &Host) {
  auto Found = State.m_Peers.find(Host);
  if (Found == State.m_Peers.end() || !Found->second.m_Heard)
    return DatagramDestination::Unknown;
  return Found->second.m_Info.m_DataCentre == State.m_Self.m_DataCentre
             ? DatagramDestination::Local
             : DatagramDestination::Remote;
}

fleet::ServerReport reportOf(const dispatch::Server &Of) {
  fleet::ServerReport Made{Of.m_Key, Of.m_Report, std::nullopt};
  if (Of.m_HasAnnouncedDraining)
    Made.m_LeavingIncarnation = Of.m_Record.m_Incarnation;
  return Made;
}

fleet::ServerInFlight inFlightOf(const dispatch::Server &Of) {
  fleet::ServerInFlight Made{Of.m_Key, Of.m_OwnInFlight};
  if (const dispatch::RequestLimit *Limit = dispatch::activeLimitOf(Of))
    Made.m_LimitedSends = Limit->m_OwnSends;
  return Made;
}

fleet::SuspectReport reportOf(dispatch::RequestFingerprint Request,
                              const dispatch::Suspect &Known, TimePoint Now) {
  fleet::SuspectReport Made;
  Made.m_Request = Request;
  for (const dispatch::Crash &Each : Known.m_Crashes)
    Made.m_Crashes.push_back(
        {Each.m_Server, Each.m_Incarnation, Now - Each.m_At});
  if (Known.m_ClearedAt != TimePoint{})
    Made.m_CompletedAge = Now - Known.m_ClearedAt;
  return Made;
}

/// Reports of suspects, those with the most crashes last.
std::vector<fleet::SuspectReport>
reportsOf(const std::map<dispatch::RequestFingerprint, dispatch::Suspect> &Of,
          TimePoint Now) {
  std::vector<fleet::SuspectReport> Made;
  Made.reserve(Of.size());
  for (const auto &[Request, Each] : Of)
    Made.push_back(reportOf(Request, Each, Now));
  std::stable_sort(Made.begin(), Made.end(), [](const auto &A, const auto &B) {
    return A.m_Crashes.size() < B.m_Crashes.size();
  });
  return Made;
}

/// Moves reports from the end of a list into a message while they fit into a
/// number of bytes. Drops one that does not fit by itself.
void takeSuspects(std::vector<fleet::SuspectReport> &From, size_t MaxBytes,
                  fleet::Datagram &To) {
  size_t Bytes = 0;
  for (; !From.empty(); From.pop_back()) {
    size_t Added = fleet::maxEncodedSize(From.back());
    if (Added > MaxBytes)
      continue;
    if (Bytes + Added > MaxBytes)
      return;
    Bytes += Added;
    To.m_Suspects.push_back(std::move(From.back()));
  }
}

/// Adds the request limit of a server, or that it was lifted, to a message.
void addLimit(fleet::Datagram &To, const dispatch::Server &Of, TimePoint Now) {
  if (const dispatch::RequestLimit *Limit = dispatch::limitOf(Of))
    To.m_Limits.push_back({Of.m_Record.m_Id, Of.m_Record.m_Incarnation,
                           Limit->m_PerSecond, Now - Limit->m_SaidAt});
}

} // namespace

FleetMessenger::FleetMessenger(NodeState &State, Handlers To)
    : m_State(State), m_Handlers(std::move(To)), m_Socket(State.m_Loop),
      m_HeartbeatTimer(State.m_Loop), m_FlushTimer(State.m_Loop) {}

Result<void> FleetMessenger::start() {
  fleet::Fleet &Fleet = m_State.m_Fleet;
  Fleet.m_Self.m_Name = m_State.m_Settings.m_Name;
  Fleet.m_Self.m_Host = m_State.m_Settings.m_Host;
  Fleet.m_Self.m_DataCentre = m_State.m_Settings.m_DataCentre;
  Fleet.m_Self.m_MilliCores = m_State.m_Settings.m_MilliCores;
  Fleet.m_Self.m_Incarnation =
      std::chrono::duration_cast<std::chrono::microseconds>(
          m_State.m_Clock.wallNow().time_since_epoch())
          .count();
  Fleet.m_SelfKey = fleet::vmKey(Fleet.m_Self.m_Host);
  const Address &At = m_State.m_Settings.m_Fleet;
  error_code Failure;
  m_Socket.open(udp::v4(), Failure);
  if (!Failure)
    m_Socket.bind({boost::asio::ip::make_address_v4(At.m_Host), At.m_Port},
                  Failure);
  if (!Failure)
    m_Socket.non_blocking(true, Failure);
  if (Failure)
    return fail(ErrorCode::Unavailable, "cannot receive datagrams on " +
                                            At.toString() + ": " +
                                            Failure.message());
  receive();
  m_StartedAt = m_State.now();
  for (const std::string &Host : m_State.m_Settings.m_SeedHosts)
    greet(Host);
  onHeartbeatTimer();
  return boost::outcome_v2::success();
}

fleet::Datagram FleetMessenger::newDatagram() {
  fleet::Datagram Made;
  Made.m_Sender = m_State.m_Fleet.m_SelfKey;
  Made.m_Incarnation = m_State.m_Fleet.m_Self.m_Incarnation;
  Made.m_Sequence = ++m_Sequence;
  return Made;
}

void FleetMessenger::send(const std::string &Bytes, const std::string &Host,
                          DatagramKind Kind) {
  error_code Failure;
  auto To = boost::asio::ip::make_address_v4(Host, Failure);
  if (!Failure)
    m_Socket.send_to(boost::asio::buffer(Bytes),
                     {To, m_State.m_Settings.m_Fleet.m_Port}, 0, Failure);
  // A datagram that cannot be sent is treated like one lost in transit;
  // heartbeats repeat everything that matters.
  m_State.m_Metrics.count(Failure ? "datagram_not_sent" : "datagram_sent");
  if (!Failure)
    m_State.m_Metrics.noteDatagram(Kind, destinationOf(m_State.m_Fleet, Host),
                                   Bytes.size());
}

void FleetMessenger::greet(const std::string &Host) {
  if (!fleet::addPeerAddress(m_State.m_Fleet, Host, m_State.now()))
    return;
  send(greeting(), Host, DatagramKind::Greeting);
}

std::string FleetMessenger::greeting() {
  fleet::Datagram Greeting = newDatagram();
  Greeting.m_Self = m_State.m_Fleet.m_Self;
  Greeting.m_IsGreeting = true;
  return fleet::encodeDatagram(Greeting);
}

void FleetMessenger::answerGreeting(const fleet::VmInfo &From) {
  const fleet::VmInfo &Self = m_State.m_Fleet.m_Self;
  fleet::Datagram Reply = newDatagram();
  Reply.m_Self = Self;
  // A VM contacts those of its own data centre directly and learns of the
  // others from digests.
  if (fleet::isLarge(m_State.m_Fleet, m_State.m_Settings.m_FleetPolicy)) {
    Reply.m_KnownHosts = fleet::selectGossipHosts(
        m_State.m_Fleet, From.m_DataCentre,
        m_State.m_Settings.m_FleetPolicy.m_BootstrapGossipHosts,
        m_State.m_Random);
    if (From.m_DataCentre != Self.m_DataCentre) {
      Reply.m_Digests = fleet::selectContacts(
          m_State.m_Fleet, m_State.m_Settings.m_FleetPolicy, From.m_DataCentre,
          m_State.m_Random, m_State.now());
      Reply.m_Digests.push_back(
          fleet::makeLocalDigest(m_State.m_Fleet, m_State.now()));
    }
  }
  addNotices(Reply);
  send(fleet::encodeDatagram(Reply), From.m_Host, DatagramKind::GreetingAnswer);
  fleet::Datagram News = newDatagram();
  auto Suspects = reportsOf(m_State.m_Suspects.m_Suspects, m_State.now());
  // The receiver has no crashes that a completed request could clear.
  std::erase_if(Suspects,
                [](const auto &Each) { return Each.m_Crashes.empty(); });
  takeSuspects(Suspects, MaxSuspectBytes, News);
  if (!News.m_Suspects.empty())
    send(fleet::encodeDatagram(News), From.m_Host, DatagramKind::Suspects);
}

void FleetMessenger::addNotices(fleet::Datagram &To) const {
  for (const auto &[Id, Of] : m_State.m_Servers.m_Servers) {
    if (To.m_Leaving.size() + To.m_Limits.size() >= MaxGreetingNotices)
      return;
    addLimit(To, Of, m_State.now());
    if (Of.m_HasAnnouncedDraining)
      To.m_Leaving.push_back({Id, Of.m_Record.m_Incarnation});
  }
}

void FleetMessenger::applyDigests(const fleet::Datagram &Message,
                                  const fleet::VmInfo &From) {
  fleet::Datagram Passed;
  for (const fleet::Digest &Each : Message.m_Digests) {
    fleet::DigestChanges News = fleet::applyDigest(
        m_State.m_Fleet, m_State.m_Settings.m_FleetPolicy, Each, m_State.now());
    for (const std::string &Host : News.m_Restarted)
      dispatch::forgetVm(m_State.m_Servers, fleet::vmKey(Host));
    if (!News.m_Joined.empty() || !News.m_Restarted.empty())
      logEvent(LogLevel::Info, "vms_told",
               {{"data_centre", Each.m_DataCentre},
                {"joined", News.m_Joined.size()},
                {"restarted", News.m_Restarted.size()},
                {"told_by", From.m_Host},
                {"fleet_version", m_State.m_Fleet.m_Version}});
    bool IsFromOutside =
        From.m_DataCentre != m_State.m_Fleet.m_Self.m_DataCentre;
    if (News.m_ShouldForward && IsFromOutside)
      Passed.m_Digests.push_back(Each);
  }
  if (Passed.m_Digests.empty())
    return;
  fleet::Datagram Numbered = newDatagram();
  Numbered.m_Digests = std::move(Passed.m_Digests);
  std::string Bytes = fleet::encodeDatagram(Numbered);
  m_State.m_Metrics.count("digest_passed_on");
  for (const auto &[Host, Known] : m_State.m_Fleet.m_Peers)
    if (Known.m_Alive &&
        Known.m_Info.m_DataCentre == m_State.m_Fleet.m_Self.m_DataCentre)
      send(Bytes, Host, DatagramKind::Digest);
}

std::string FleetMessenger::encodeHeartbeat() {
  fleet::Datagram Beat = newDatagram();
  Beat.m_Self = m_State.m_Fleet.m_Self;
  Beat.m_Following = m_Handlers.m_GetOwnFollowing();
  for (const auto &[Id, Of] : m_State.m_Servers.m_Servers)
    if (fleet::ServerInFlight Told = inFlightOf(Of);
        Told.m_Count > 0 || Told.m_LimitedSends > 0)
      Beat.m_InFlight.push_back(Told);
  auto Suspects =
      reportsOf(dispatch::suspectsSince(m_State.m_Suspects,
                                        m_State.now() - SuspectRepeatTime),
                m_State.now());
  takeSuspects(Suspects, MaxHeartbeatSuspectBytes, Beat);
  const fleet::FleetPolicy &Policy = m_State.m_Settings.m_FleetPolicy;
  size_t Named = isNew() ? Policy.m_BootstrapGossipHosts : Policy.m_GossipHosts;
  std::string_view DataCentre;
  if (fleet::isLarge(m_State.m_Fleet, Policy))
    DataCentre = m_State.m_Fleet.m_Self.m_DataCentre;
  Beat.m_KnownHosts = fleet::selectGossipHosts(m_State.m_Fleet, DataCentre,
                                               Named, m_State.m_Random);
  return fleet::encodeDatagram(Beat);
}

bool FleetMessenger::isNew() const {
  return m_State.now() - m_StartedAt <
         m_State.m_Settings.m_FleetPolicy.m_BootstrapPeriod;
}

void FleetMessenger::announce() {
  std::string Bytes = encodeHeartbeat();
  // All VMs must know which ones follow the store; the rest is in the next
  // digests.
  const fleet::FleetPolicy &Policy = m_State.m_Settings.m_FleetPolicy;
  bool IsForAll = !fleet::isLarge(m_State.m_Fleet, Policy);
  for (const auto &[Host, Known] : m_State.m_Fleet.m_Peers)
    if (IsForAll ||
        Known.m_Info.m_DataCentre == m_State.m_Fleet.m_Self.m_DataCentre)
      send(Bytes, Host, DatagramKind::Announcement);
  if (IsForAll || !m_Handlers.m_GetOwnFollowing())
    return;
  fleet::Datagram News = newDatagram();
  News.m_Following = m_Handlers.m_GetOwnFollowing();
  News.m_ShouldPassOn = true;
  Bytes = fleet::encodeDatagram(News);
  for (const std::string &Host : fleet::selectBroadcastRecipients(
                                     m_State.m_Fleet, Policy, m_State.m_Random)
                                     .m_PassOn)
    send(Bytes, Host, DatagramKind::Announcement);
}

void FleetMessenger::sendHeartbeat() {
  const fleet::FleetPolicy &Policy = m_State.m_Settings.m_FleetPolicy;
  TimePoint Now = m_State.now();
  // Allow for timer jitter.
  bool IsDue = isNew() || Now - m_DigestAt >= Policy.m_DigestInterval * 9 / 10;
  fleet::HeartbeatRecipients To = fleet::selectHeartbeatRecipients(
      m_State.m_Fleet, Policy, IsDue, m_State.m_Random, Now);
  std::string Bytes = encodeHeartbeat();
  for (const std::string &Host : To.m_Heartbeat)
    send(Bytes, Host, DatagramKind::Heartbeat);
  if (!To.m_Digest.empty()) {
    m_DigestAt = Now;
    fleet::Datagram Told = newDatagram();
    Told.m_Self = m_State.m_Fleet.m_Self;
    Told.m_Digests.push_back(fleet::makeLocalDigest(m_State.m_Fleet, Now));
    Bytes = fleet::encodeDatagram(Told);
    for (const std::string &Host : To.m_Digest)
      send(Bytes, Host, DatagramKind::Digest);
  }
  if (To.m_Greeting.empty())
    return;
  Bytes = greeting();
  for (const std::string &Host : To.m_Greeting)
    send(Bytes, Host, DatagramKind::Greeting);
}

void FleetMessenger::onHeartbeatTimer() {
  sendHeartbeat();
  TimePoint Now = m_State.now();
  for (const std::string &Host : fleet::expirePeers(
           m_State.m_Fleet, m_State.m_Settings.m_FleetPolicy, Now)) {
    dispatch::forgetVm(m_State.m_Servers, fleet::vmKey(Host));
    logEvent(LogLevel::Warning, "vm_silent",
             {{"host", Host},
              {"silence_ms",
               toMillis(m_State.m_Settings.m_FleetPolicy.m_FailureTimeout)},
              {"fleet_version", m_State.m_Fleet.m_Version}});
  }
  scheduleHeartbeat();
}

void FleetMessenger::scheduleHeartbeat() {
  const fleet::FleetPolicy &Policy = m_State.m_Settings.m_FleetPolicy;
  bool MaySlow = fleet::isLarge(m_State.m_Fleet, Policy) &&
                 !m_Handlers.m_GetOwnFollowing();
  m_HeartbeatTimer.expires_after(MaySlow ? 2 * Policy.m_Heartbeat
                                         : Policy.m_Heartbeat);
  m_HeartbeatTimer.async_wait([this](const error_code &Ended) {
    if (!Ended)
      runWithRecovery([this] { onHeartbeatTimer(); },
                      [this] { scheduleHeartbeat(); });
  });
}

void FleetMessenger::noteRunning() {
  fleet::noteRunning(m_RunTimes, m_State.m_Settings.m_FleetPolicy,
                     m_State.now());
}

void FleetMessenger::receive() {
  m_Socket.async_receive_from(
      boost::asio::buffer(m_Input), m_From,
      [this](const error_code &Failure, size_t Bytes) {
        if (Failure == boost::asio::error::operation_aborted)
          return;
        if (!Failure)
          runWithRecovery([&] { received(Bytes); }, [&] { receive(); });
        receive();
      });
}

void FleetMessenger::received(size_t Bytes) {
  // Drain the socket on each wake-up.
  noteRunning();
  while (true) {
    auto Message = fleet::decodeDatagram({m_Input.data(), Bytes});
    if (Message) {
      applyDatagram(Message.value(), m_From.address().to_string());
    } else {
      m_State.m_Metrics.count("datagram_malformed");
      logEvent(LogLevel::Warning, "datagram_malformed",
               {{"from", m_From.address().to_string()},
                {"error", Message.error().m_Message}});
    }
    error_code Failure;
    Bytes =
        m_Socket.receive_from(boost::asio::buffer(m_Input), m_From, 0, Failure);
    if (Failure)
      return;
  }
}

void FleetMessenger::applyDatagram(const fleet::Datagram &Message,
                                   const std::string &Host) {
  TimePoint Now = m_State.now();
  if (Message.m_Self && !Message.m_Origin) {
    fleet::VmInfo Info = *Message.m_Self;
    Info.m_Host = Host;
    fleet::PeerChange Change = fleet::updatePeer(m_State.m_Fleet, Info, Now);
    if (Change == fleet::PeerChange::Restarted)
      dispatch::forgetVm(m_State.m_Servers, fleet::vmKey(Host));
    if (Change != fleet::PeerChange::Nothing)
      logEvent(LogLevel::Info, "vm_heard",
               {{"host", Host},
                {"name", Info.m_Name},
                {"ready", Info.m_Ready},
                {"leaving", Info.m_Leaving},
                {"incarnation", Info.m_Incarnation},
                {"fleet_version", m_State.m_Fleet.m_Version}});
    if (Message.m_IsGreeting || Change == fleet::PeerChange::Joined ||
        fleet::needsContacts(m_State.m_Fleet, m_State.m_Settings.m_FleetPolicy,
                             Info, !Message.m_Digests.empty()))
      answerGreeting(Info);
  }
  bool IsNews = fleet::acceptSequence(
      m_State.m_Fleet, Host, Message.m_Incarnation, Message.m_Sequence, Now);
  if (!IsNews)
    return;
  // The VM that the content comes from.
  const std::string &Origin =
      Message.m_Origin ? Message.m_Origin->m_Host : Host;
  bool IsNewest = true;
  if (Message.m_Origin || Message.m_ShouldPassOn) {
    fleet::BroadcastAge Age = fleet::acceptBroadcast(
        m_State.m_Fleet, Origin,
        Message.m_Origin ? Message.m_Origin->m_Incarnation
                         : Message.m_Incarnation,
        Message.m_Origin ? Message.m_Origin->m_Sequence : Message.m_Sequence);
    passOn(Message, Host, Age);
    if (Age == fleet::BroadcastAge::Rejected)
      return;
    IsNewest = Age == fleet::BroadcastAge::Newest;
  }
  for (const std::string &Known : Message.m_KnownHosts)
    greet(Known);
  if (!Message.m_Digests.empty())
    applyDigests(Message, m_State.m_Fleet.m_Peers.at(Host).m_Info);
  // A heartbeat without this field comes from a VM that does not follow the
  // store.
  if (IsNewest && (Message.m_Self || Message.m_Following)) {
    fleet::Peer &Known = m_State.m_Fleet.m_Peers[Origin];
    Known.m_StoreAnswers =
        Message.m_Following && Message.m_Following->m_StoreAnswers;
    if (Known.m_StoreAnswers)
      Known.m_StoreConfirmedAt = Now - Message.m_Following->m_ConfirmedAge;
  }
  if (Message.m_Following)
    m_Handlers.m_OnFollowing(*Message.m_Following, Origin);
  for (const fleet::TableRows &Each : Message.m_Rows)
    m_Handlers.m_OnTableRows(Each);
  if (!Message.m_QuotaAsks.empty() || !Message.m_QuotaGrants.empty())
    m_Handlers.m_OnQuota(Message, Host);
  if (!Message.m_RolloutCounts.empty() || !Message.m_RolloutVerdicts.empty())
    m_Handlers.m_OnRollout(Message, Host);
  applyLimits(Message);
  applySuspects(Message);
  for (const fleet::ServerLeaving &Each : Message.m_Leaving)
    noteLeaving(m_State, Each.m_Server, Each.m_Incarnation, "vm");
  auto &ByKey = m_State.m_Servers.m_ByKey;
  for (const fleet::ServerReport &Each : Message.m_Reports) {
    auto Found = ByKey.find(Each.m_Server);
    if (Found == ByKey.end())
      continue;
    noteReport(m_State, *Found->second, Each.m_Load);
    dispatch::extendReportValidity(*Found->second, Each.m_ValidFor, Now);
    if (Each.m_LeavingIncarnation)
      noteLeaving(m_State, Found->second->m_Record.m_Id,
                  *Each.m_LeavingIncarnation, "vm");
    m_Handlers.m_OnServerUpdate(*Found->second);
  }
  if (!m_State.m_Settings.m_Dispatch.m_ShareInFlight)
    return;
  for (const fleet::ServerInFlight &Each : Message.m_InFlight) {
    auto Found = ByKey.find(Each.m_Server);
    if (Found == ByKey.end())
      continue;
    dispatch::recordPeerInFlight(*Found->second, Message.m_Sender, Each.m_Count,
                                 Now);
    dispatch::recordOutcomes(*Found->second, m_State.m_Settings.m_Dispatch,
                             Each.m_Succeeded, Each.m_Failed, Now);
    if (Each.m_Stretch)
      dispatch::recordOccupancySample(
          Found->second->m_Model->m_Curve, m_State.m_Settings.m_Dispatch,
          {Each.m_Stretch->m_InFlight, Found->second->m_Record.m_Slots,
           Each.m_Stretch->m_Ratio});
    m_Handlers.m_OnServerUpdate(*Found->second);
  }
}

void FleetMessenger::applyLimits(const fleet::Datagram &Message) {
  TimePoint Now = m_State.now();
  for (const fleet::ServerLimit &Each : Message.m_Limits)
    if (dispatch::recordPeerLimit(m_State.m_Servers, Each.m_Server,
                                  Each.m_Incarnation, Each.m_PerSecond,
                                  Now - Each.m_Age, Now))
      logLimit(m_State, Each.m_Server, Each.m_Incarnation, Each.m_PerSecond,
               "vm");
  auto &ByKey = m_State.m_Servers.m_ByKey;
  for (const fleet::ServerInFlight &Each : Message.m_InFlight) {
    auto Found = ByKey.find(Each.m_Server);
    if (Found == ByKey.end() || Each.m_LimitedSends == 0)
      continue;
    if (dispatch::RequestLimit *Limit = dispatch::limitOf(*Found->second))
      dispatch::countPeerSends(*Limit, Message.m_Sender, Each.m_LimitedSends,
                               m_State.m_Settings.m_Dispatch, Now);
  }
}

void FleetMessenger::applySuspects(const fleet::Datagram &Message) {
  TimePoint Now = m_State.now();
  for (const fleet::SuspectReport &Each : Message.m_Suspects) {
    dispatch::Suspect Known;
    for (const fleet::ReportedCrash &Seen : Each.m_Crashes)
      Known.m_Crashes.push_back(
          {Seen.m_Server, Seen.m_Incarnation, Now - Seen.m_Age});
    if (Each.m_CompletedAge)
      Known.m_ClearedAt = Now - *Each.m_CompletedAge;
    if (dispatch::mergeSuspect(m_State.m_Suspects,
                               m_State.m_Settings.m_Dispatch, Each.m_Request,
                               Known, Now))
      noteSuspect(m_State, Each.m_Request, "vm");
  }
}

void FleetMessenger::queueCheckUpdate(const CheckUpdate &News) {
  bool &IsChange = m_PendingChecks[News.m_Server.m_Record.m_Id];
  IsChange = IsChange || News.m_Result == dispatch::CheckResult::Change;
  m_CheckStandbys.insert(News.m_Standbys.begin(), News.m_Standbys.end());
  m_ChecksAreForAll = m_ChecksAreForAll || News.m_IsForAll;
  if (News.m_LeavesNow)
    queueLeaving(News.m_Server.m_Record.m_Id,
                 News.m_Server.m_Record.m_Incarnation);
  scheduleCheckUpdates();
}

void FleetMessenger::queueLoadUpdate(const dispatch::Server &Of) {
  m_PendingServerUpdates[Of.m_Record.m_Id].m_WithReport = true;
  scheduleServerUpdates();
}

void FleetMessenger::queueAttemptOutcome(
    const dispatch::Server &Of, bool Succeeded,
    const std::optional<dispatch::OccupancySample> &Seen) {
  PendingServerUpdate &News = m_PendingServerUpdates[Of.m_Record.m_Id];
  ++(Succeeded ? News.m_Succeeded : News.m_Failed);
  if (Seen)
    News.m_Stretch = Seen;
  scheduleServerUpdates();
}

void FleetMessenger::queueLimit(const dispatch::Server &Of) {
  m_PendingServerUpdates.try_emplace(Of.m_Record.m_Id);
  scheduleServerUpdates();
}

void FleetMessenger::queueInFlight(const dispatch::Server &Of) {
  if (!m_State.m_Settings.m_Dispatch.m_ShareInFlight &&
      !dispatch::activeLimitOf(Of))
    return;
  m_PendingServerUpdates.try_emplace(Of.m_Record.m_Id);
  scheduleServerUpdates();
}

void FleetMessenger::queueLeaving(const std::string &Server,
                                  int64_t Incarnation) {
  m_PendingLeaving.push_back({Server, Incarnation});
  scheduleServerUpdates();
}

void FleetMessenger::queueSuspect(dispatch::RequestFingerprint Request) {
  m_PendingSuspects.insert(Request);
  scheduleServerUpdates();
}

void FleetMessenger::sendTableRows(const fleet::TableRows &Rows) {
  fleet::Datagram News = newDatagram();
  News.m_Following = m_Handlers.m_GetOwnFollowing();
  News.m_Rows.push_back(Rows);
  if (fleet::encodeDatagram(News).size() > MaxRowBytes)
    return announce();
  broadcast(std::move(News), DatagramKind::Rows);
}

void FleetMessenger::sendQuota(const std::string &Host,
                               std::vector<quota::Ask> Asks,
                               std::vector<quota::Grant> Grants) {
  fleet::Datagram News = newDatagram();
  News.m_QuotaAsks = std::move(Asks);
  News.m_QuotaGrants = std::move(Grants);
  send(fleet::encodeDatagram(News), Host, DatagramKind::Quota);
}

void FleetMessenger::sendStoreConfirmation() {
  fleet::Datagram News = newDatagram();
  News.m_Following = m_Handlers.m_GetOwnFollowing();
  broadcast(std::move(News), DatagramKind::Confirmation);
}

void FleetMessenger::broadcast(fleet::Datagram Message, DatagramKind Kind) {
  fleet::BroadcastRecipients To = fleet::selectBroadcastRecipients(
      m_State.m_Fleet, m_State.m_Settings.m_FleetPolicy, m_State.m_Random);
  std::string Bytes = fleet::encodeDatagram(Message);
  for (const std::string &Host : To.m_Direct)
    send(Bytes, Host, Kind);
  if (To.m_PassOn.empty())
    return;
  Message.m_ShouldPassOn = true;
  Bytes = fleet::encodeDatagram(Message);
  for (const std::string &Host : To.m_PassOn)
    send(Bytes, Host, Kind);
}

void FleetMessenger::passOn(const fleet::Datagram &Message,
                            const std::string &Host, fleet::BroadcastAge Age) {
  const fleet::VmInfo &From = m_State.m_Fleet.m_Peers.at(Host).m_Info;
  if (!fleet::mustPassOn(m_State.m_Fleet, m_State.m_Settings.m_FleetPolicy,
                         {Message.m_ShouldPassOn, From.m_DataCentre, Age,
                          m_State.now() - m_RunTimes.m_ThawedAt})) {
    if (Message.m_ShouldPassOn)
      m_State.m_Metrics.count("not_passed_on");
    return;
  }
  fleet::Datagram Passed = fleet::makePassedOn(Message, Host);
  fleet::Datagram Numbered = newDatagram();
  Passed.m_Sender = Numbered.m_Sender;
  Passed.m_Incarnation = Numbered.m_Incarnation;
  Passed.m_Sequence = Numbered.m_Sequence;
  std::string Bytes = fleet::encodeDatagram(Passed);
  for (const std::string &Each : fleet::localHosts(m_State.m_Fleet))
    send(Bytes, Each, DatagramKind::PassedOn);
}

void FleetMessenger::sendToAll(const std::string &Bytes, DatagramKind Kind) {
  for (const auto &[Host, Known] : m_State.m_Fleet.m_Peers)
    if (Known.m_Alive)
      send(Bytes, Host, Kind);
}

void FleetMessenger::sendRolloutCounts(const fleet::RolloutCounts &Counts,
                                       const std::vector<std::string> &Hosts) {
  fleet::Datagram News = newDatagram();
  News.m_RolloutCounts.push_back(Counts);
  std::string Bytes = fleet::encodeDatagram(News);
  for (const std::string &Host : Hosts)
    send(Bytes, Host, DatagramKind::Rollouts);
}

void FleetMessenger::sendRolloutVerdict(const fleet::RolloutVerdict &Verdict) {
  fleet::Datagram News = newDatagram();
  News.m_RolloutVerdicts.push_back(Verdict);
  sendToAll(fleet::encodeDatagram(News), DatagramKind::Rollouts);
}

void FleetMessenger::scheduleCheckUpdates() {
  if (std::exchange(m_CheckUpdatesScheduled, true))
    return;
  m_FlushTimer.expires_after(BatchTime);
  m_FlushTimer.async_wait([this](const error_code &Ended) {
    if (Ended)
      return;
    m_CheckUpdatesScheduled = false;
    sendCheckUpdates();
  });
}

void FleetMessenger::scheduleServerUpdates() {
  if (std::exchange(m_ServerUpdatesScheduled, true))
    return;
  boost::asio::post(m_State.m_Loop, [this] {
    m_ServerUpdatesScheduled = false;
    sendServerUpdates();
  });
}

void FleetMessenger::sendCheckUpdates() {
  const fleet::FleetPolicy &Policy = m_State.m_Settings.m_FleetPolicy;
  const dispatch::DispatchPolicy &Telling = m_State.m_Settings.m_Dispatch;
  bool IsForAll = std::exchange(m_ChecksAreForAll, false);
  bool IsForUsers = !IsForAll && fleet::isLarge(m_State.m_Fleet, Policy);
  fleet::Datagram News = newDatagram();
  std::set<std::string> Users = std::exchange(m_CheckStandbys, {});
  std::set<std::string> Changed;
  for (const auto &[Id, IsChange] : std::exchange(m_PendingChecks, {})) {
    auto Found = m_State.m_Servers.m_Servers.find(Id);
    if (Found == m_State.m_Servers.m_Servers.end())
      continue;
    News.m_Reports.push_back(reportOf(Found->second));
    if (Telling.m_TellChangesOnly)
      News.m_Reports.back().m_ValidFor = Telling.m_ReportValidity;
    addLimit(News, Found->second, m_State.now());
    if (IsChange)
      Changed.insert(Id);
    if (!IsForUsers)
      continue;
    const std::vector<std::string> &Hosts = usersOf(Found->second);
    Users.insert(Hosts.begin(), Hosts.end());
  }
  std::string Bytes = fleet::encodeDatagram(News);
  if (IsForAll)
    return sendToAll(Bytes, DatagramKind::Checks);
  std::vector<const std::string *> Remote;
  for (const auto &[Host, Known] : m_State.m_Fleet.m_Peers) {
    if (!Known.m_Alive || (IsForUsers && !Users.count(Host)))
      continue;
    if (Known.m_Info.m_DataCentre == m_State.m_Settings.m_DataCentre)
      send(Bytes, Host, DatagramKind::Checks);
    else
      Remote.push_back(&Host);
  }
  sendRemoteCheckUpdates(News, Changed, Remote);
}

void FleetMessenger::sendRemoteCheckUpdates(
    const fleet::Datagram &All, const std::set<std::string> &Changed,
    const std::vector<const std::string *> &Remote) {
  // VMs of other data centres send fewer requests to these servers, so the more
  // of these VMs there are, the less often each receives the results.
  uint64_t Turns =
      1 + Remote.size() / m_State.m_Settings.m_FleetPolicy.m_RemoteReceivers;
  uint64_t Turn = m_CheckBatchCount++ % Turns;
  std::string Whole = fleet::encodeDatagram(All);
  std::set<std::string> Told;
  for (size_t I = Turn; I < Remote.size(); I += Turns) {
    send(Whole, *Remote[I], DatagramKind::Checks);
    Told.insert(*Remote[I]);
  }
  if (Turns == 1 || !m_State.m_Settings.m_Dispatch.m_TellChangesOnly)
    return;
  // Each of the remaining VMs uses few of these servers, so it gets only the
  // changes of those.
  std::map<std::string, fleet::Datagram> ByHost;
  for (const std::string &Id : Changed) {
    const dispatch::Server &Of = m_State.m_Servers.m_Servers.at(Id);
    for (const std::string &Host : usersOf(Of))
      if (!Told.count(Host) &&
          std::any_of(Remote.begin(), Remote.end(),
                      [&](const std::string *Each) { return *Each == Host; })) {
        ByHost[Host].m_Reports.push_back(reportOf(Of));
        addLimit(ByHost[Host], Of, m_State.now());
      }
  }
  for (auto &[Host, News] : ByHost) {
    fleet::Datagram Numbered = newDatagram();
    Numbered.m_Reports = std::move(News.m_Reports);
    Numbered.m_Limits = std::move(News.m_Limits);
    send(fleet::encodeDatagram(Numbered), Host, DatagramKind::CheckChanges);
  }
}

void FleetMessenger::sendServerUpdates() {
  if (!m_PendingLeaving.empty()) {
    fleet::Datagram News = newDatagram();
    News.m_Leaving = std::exchange(m_PendingLeaving, {});
    sendToAll(fleet::encodeDatagram(News), DatagramKind::Leaving);
  }
  std::vector<fleet::SuspectReport> Suspects;
  for (dispatch::RequestFingerprint Each : std::exchange(m_PendingSuspects, {}))
    if (auto Known = m_State.m_Suspects.m_Suspects.find(Each);
        Known != m_State.m_Suspects.m_Suspects.end())
      Suspects.push_back(reportOf(Each, Known->second, m_State.now()));
  while (!Suspects.empty()) {
    fleet::Datagram News = newDatagram();
    takeSuspects(Suspects, MaxSuspectBytes, News);
    sendToAll(fleet::encodeDatagram(News), DatagramKind::Suspects);
  }
  // Group servers used by the same VMs into one datagram.
  std::map<std::vector<std::string>, fleet::Datagram> ByUsers;
  auto &Servers = m_State.m_Servers.m_Servers;
  for (const auto &[Id, Told] : m_PendingServerUpdates) {
    auto Found = Servers.find(Id);
    if (Found == Servers.end())
      continue;
    const dispatch::Server &Of = Found->second;
    const std::vector<std::string> &Hosts = usersOf(Of);
    if (Hosts.empty())
      continue;
    fleet::Datagram &News = ByUsers[Hosts];
    fleet::ServerInFlight &Count = News.m_InFlight.emplace_back(inFlightOf(Of));
    Count.m_Succeeded = Told.m_Succeeded;
    Count.m_Failed = Told.m_Failed;
    Count.m_Stretch = Told.m_Stretch;
    addLimit(News, Of, m_State.now());
    if (Told.m_WithReport)
      News.m_Reports.push_back(reportOf(Of));
  }
  m_PendingServerUpdates.clear();
  for (auto &[Hosts, News] : ByUsers) {
    fleet::Datagram Numbered = newDatagram();
    Numbered.m_InFlight = std::move(News.m_InFlight);
    Numbered.m_Reports = std::move(News.m_Reports);
    Numbered.m_Limits = std::move(News.m_Limits);
    std::string Bytes = fleet::encodeDatagram(Numbered);
    for (const std::string &Host : Hosts)
      send(Bytes, Host, DatagramKind::InFlight);
  }
}

const std::vector<std::string> &
FleetMessenger::usersOf(const dispatch::Server &Of) {
  Users &Known = m_Users[Of.m_Record.m_Id];
  uint64_t Version = m_State.topologyVersion();
  if (Known.m_Version == Version)
    return Known.m_Hosts;
  Known.m_Version = Version;
  Known.m_Hosts.clear();
  const fleet::ServiceRing &Ring = m_State.m_Rings[Of.m_Record.m_Service];
  for (const auto &[Host, Peer] : m_State.m_Fleet.m_Peers)
    if (Peer.m_Alive &&
        fleet::usesServer(Host, Peer.m_Info.m_DataCentre, Of, Ring,
                          m_State.m_Settings.m_FleetPolicy))
      Known.m_Hosts.push_back(Host);
  return Known.m_Hosts;
}

} // namespace hyssopcross::gateway
