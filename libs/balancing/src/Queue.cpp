#include "Queue.h"
#include <algorithm>

namespace hyssopcross::balancing {

namespace {

const std::string &shareOf(const PoolState &State, const CallState &Call) {
  static const std::string Shared;
  return State.m_Policy.m_Switches.m_FairShares ? Call.m_Arrival.m_ShareKey
                                                : Shared;
}

} // namespace

void enqueue(Context &Step, CallId Call, QueueEnd End) {
  PoolState &State = Step.m_State;
  CallState &Known = State.m_Calls.at(Call);
  Known.m_Queued = true;
  Known.m_QueuedAt = Step.m_Now;
  std::deque<CallId> &Line = State.m_Queue.m_Shares[shareOf(State, Known)];
  if (End == QueueEnd::Front)
    Line.push_front(Call);
  else
    Line.push_back(Call);
  State.m_Queue.m_Deadlines.insert({Known.m_Arrival.m_Deadline, Call});
}

void dequeue(Context &Step, CallId Call) {
  PoolState &State = Step.m_State;
  CallState &Known = State.m_Calls.at(Call);
  if (!Known.m_Queued)
    return;
  Known.m_Queued = false;
  auto Line = State.m_Queue.m_Shares.find(shareOf(State, Known));
  std::erase(Line->second, Call);
  if (Line->second.empty())
    State.m_Queue.m_Shares.erase(Line);
  State.m_Queue.m_Deadlines.erase({Known.m_Arrival.m_Deadline, Call});
}

std::optional<CallId> nextInTurn(const PoolState &State) {
  const auto &Shares = State.m_Queue.m_Shares;
  if (Shares.empty())
    return std::nullopt;
  auto Turn = Shares.upper_bound(State.m_Queue.m_LastShare);
  if (Turn == Shares.end())
    Turn = Shares.begin();
  return Turn->second.front();
}

void takeTurn(Context &Step, CallId Call) {
  PoolState &State = Step.m_State;
  State.m_Queue.m_LastShare = shareOf(State, State.m_Calls.at(Call));
  dequeue(Step, Call);
}

CallId newestOfLongest(const PoolState &State) {
  const auto &Shares = State.m_Queue.m_Shares;
  const std::deque<CallId> *Longest = &Shares.begin()->second;
  auto NewestAt = [&State](const std::deque<CallId> &Line) {
    return State.m_Calls.at(Line.back()).m_QueuedAt;
  };
  for (const auto &[Share, Line] : State.m_Queue.m_Shares) {
    bool Longer =
        !Longest || Line.size() > Longest->size() ||
        (Line.size() == Longest->size() && NewestAt(Line) > NewestAt(*Longest));
    if (Longer)
      Longest = &Line;
  }
  return Longest->back();
}

size_t callsBefore(const PoolState &State, CallId Call) {
  const auto &Shares = State.m_Queue.m_Shares;
  const std::deque<CallId> &Own =
      Shares.at(shareOf(State, State.m_Calls.at(Call)));
  auto Place = static_cast<size_t>(std::find(Own.begin(), Own.end(), Call) -
                                   Own.begin());
  size_t Before = Place;
  for (const auto &[Share, Line] : Shares)
    if (&Line != &Own)
      Before += std::min(Line.size(), Place + 1);
  return Before;
}

std::vector<CallId> oldestFirst(const PoolState &State) {
  std::vector<Timer> Order;
  Order.reserve(State.m_Queue.size());
  for (const auto &[Share, Line] : State.m_Queue.m_Shares)
    for (CallId Call : Line)
      Order.push_back({State.m_Calls.at(Call).m_QueuedAt, Call});
  std::sort(Order.begin(), Order.end());
  std::vector<CallId> Calls;
  Calls.reserve(Order.size());
  for (const Timer &Entry : Order)
    Calls.push_back(Entry.m_Id);
  return Calls;
}

} // namespace hyssopcross::balancing
