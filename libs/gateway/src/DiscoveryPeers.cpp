// Rows of the followed tables that VMs exchange with each other.
#include "DiscoveryClient.h"
#include "hyssopcross/base/Log.h"

namespace hyssopcross::gateway {

namespace {

/// Timeout of a call to another VM: many round trips between data centres.
constexpr Duration PeerTimeout = std::chrono::milliseconds(300);
/// Timeout for fetching a whole table from another VM: some hundred kilobytes
/// through the link of a small VM that serves others too.
constexpr Duration WholeTableTimeout = std::chrono::milliseconds(1500);
/// Number of rows from which sending a whole table takes significant link time.
constexpr size_t LongTableRows = 64;
/// Path at which entry VMs request missed rows from each other.
constexpr std::string_view RowsPath = "/rows";

} // namespace

bool DiscoveryClient::askPeer(Follower &Of) {
  bool IsWhole = !Of.m_Copy.m_IsComplete;
  const fleet::Peer *Asked = fleet::selectSyncSource(
      m_State.m_Fleet,
      IsWhole ? fleet::SyncKind::Whole : fleet::SyncKind::Changes,
      m_State.draw());
  auto Announcer = m_State.m_Fleet.m_Peers.find(Of.m_AnnouncedBy);
  if (Of.isBehind() && Announcer != m_State.m_Fleet.m_Peers.end() &&
      Announcer->second.m_Alive)
    Asked = &Announcer->second;
  if (!Asked)
    return false;
  AskedRows Rows;
  if (Of.m_Copy.m_IsComplete)
    Rows.m_After = Of.m_Copy.m_UpTo;
  http::Request Question(boost::beast::http::verb::get,
                         std::string(RowsPath) + "?table=" +
                             std::to_string(static_cast<uint32_t>(Of.m_Which)) +
                             "&era=" + std::to_string(Rows.m_After.m_Era) +
                             "&after=" + std::to_string(Rows.m_After.m_Version),
                         11);
  Question.set(boost::beast::http::field::host, Asked->m_Info.m_Host);
  m_State.m_Metrics.count("peer_rows_asked");
  Of.m_Asked = Rows;
  call(Of, {Asked->m_Info.m_Host, m_State.m_Settings.m_Internal.m_Port},
       std::move(Question), IsWhole ? WholeTableTimeout : PeerTimeout,
       &DiscoveryClient::peerAnswered);
  return true;
}

void DiscoveryClient::peerAnswered(Follower &Of,
                                   const http::ExchangeResult &Result) {
  if (Result.m_End == http::ExchangeEnd::Answered &&
      Result.m_Answer.result_int() == 200) {
    auto Rows = fleet::decodeRows(Result.m_Answer.body());
    if (Rows) {
      apply(Of, Rows.value().m_Batch, Of.m_Asked.m_After);
      Of.m_MustRead = Of.m_MustRead && !Of.m_Copy.m_IsComplete;
      m_State.m_Metrics.count("peer_rows_taken");
    } else {
      logEvent(LogLevel::Warning, "peer_rows_malformed",
               {{"error", Rows.error().m_Message}});
    }
  }
  // The store is called next, without a pause unless it is the one that fails.
  if (Of.m_StoreFailed || !Of.m_Copy.m_IsComplete)
    return pauseThenNext(Of);
  discovery::onCallSucceeded(Of.m_Pace);
  next(Of);
}

std::optional<fleet::Following> DiscoveryClient::ownFollowing() const {
  if (!m_IsFollower)
    return std::nullopt;
  fleet::Following Own;
  Own.m_StoreAnswers = storeAnswers();
  Own.m_ConfirmedAge = m_State.now() - m_ConfirmedAt;
  for (const Follower &Each : m_Followers)
    Own.m_LastChanges.push_back(Each.m_Copy.m_LastChange);
  return Own;
}

void DiscoveryClient::applyPeerFollowing(const fleet::Following &News,
                                         const std::string &From) {
  for (size_t I = 0; I < m_Followers.size() && I < News.m_LastChanges.size();
       ++I) {
    Follower &Own = m_Followers[I];
    if (News.m_LastChanges[I] <= std::max(Own.m_Announced, Own.m_Copy.m_UpTo))
      continue;
    Own.m_Announced = News.m_LastChanges[I];
    Own.m_AnnouncedAt = m_State.now();
    Own.m_AnnouncedBy = From;
    Own.m_AskedPeer = false;
  }
  updateStoreReachability();
}

void DiscoveryClient::applyPeerRows(const fleet::TableRows &News) {
  if (News.m_Table >= m_Followers.size())
    return;
  Follower &Own = m_Followers[News.m_Table];
  bool HasGap = !News.m_Batch.m_IsSnapshot && News.m_After > Own.m_Copy.m_UpTo;
  if (!Own.m_Copy.m_IsComplete || HasGap)
    return;
  apply(Own, News.m_Batch, News.m_After);
}

Result<fleet::TableRows> DiscoveryClient::rowsAfter(uint32_t Table,
                                                    discovery::Revision After) {
  if (Table >= m_Followers.size() || !m_Followers[Table].m_Copy.m_IsComplete)
    return fail(ErrorCode::Unavailable, "the table is not known here");
  const discovery::Table &Copy = m_Followers[Table].m_Copy;
  bool IsWhole = After.m_Version == 0 || After.m_Era != Copy.m_UpTo.m_Era;
  bool IsLong = IsWhole && Copy.m_Rows.size() >= LongTableRows;
  if (IsLong && !discovery::tryAcquireSnapshot(m_HandOvers, m_State.now()))
    return fail(ErrorCode::Unavailable, "others are being told");
  return fleet::TableRows{Table, After, discovery::changesAfter(Copy, After)};
}

} // namespace hyssopcross::gateway
