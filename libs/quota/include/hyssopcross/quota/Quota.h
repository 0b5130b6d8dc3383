#ifndef HYSSOPCROSS_QUOTA_QUOTA_H
#define HYSSOPCROSS_QUOTA_QUOTA_H

#include "hyssopcross/base/Clock.h"
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssopcross::quota {

/// Identifies an entry VM in messages; zero stands for no VM.
using VmKey = uint32_t;

struct QuotaPolicy {
  /// The rule: in each sliding window, at most
  /// (rate * window + burst) * (1 + over) + slack requests of an organisation.
  Duration m_Window = std::chrono::seconds(5);
  double m_Over = 0.1;
  double m_Slack = 20;
  /// Time for the answer of one VM before the next one is asked. The slowest
  /// round trip between data centres takes 9 ms.
  Duration m_StepTime = std::chrono::milliseconds(30);
  /// Interval at which an ask is repeated within a step, in case it or its
  /// answer was lost.
  Duration m_ResendTime = std::chrono::milliseconds(10);
  /// How long a VM that did not answer an ask, nor any other one within the
  /// silence time, is not asked for an organisation.
  Duration m_SilenceTime = std::chrono::milliseconds(200);
  Duration m_SkipTime = std::chrono::milliseconds(500);
  /// How long the token of a request that was not sent may be used for another.
  Duration m_SpareTime = std::chrono::seconds(1);
  /// How long a keeper's permission to grant lasts, and how long a keeper gives
  /// none after its start. After a restart of all VMs nothing is granted for
  /// that long.
  Duration m_PermitTime = std::chrono::seconds(1);
  /// Age at which a permission is renewed, and the interval at which a request
  /// for one is repeated.
  Duration m_PermitRenewal = std::chrono::milliseconds(500);
  Duration m_PermitRetry = std::chrono::milliseconds(100);
  /// Permissions are renewed while the organisation was asked for within this
  /// time.
  Duration m_ActiveTime = std::chrono::seconds(5);
  /// Number of VMs that keep an organisation's permission. It is even, so that
  /// majorities of two sets that differ in one VM still overlap. Six in three
  /// data centres leave a majority if a data centre fails.
  size_t m_Keepers = 6;
  /// A VM that was silent for this long is no longer counted, provided that
  /// more than half of the known VMs are live.
  Duration m_ForgetAfter = std::chrono::seconds(60);
  /// How long answers are kept for duplicate asks, and the way back of a
  /// forwarded ask. Covers all steps of an ask.
  Duration m_AnswerTime = std::chrono::milliseconds(500);
  /// How far ahead a refusal may promise a token.
  Duration m_MaxPromise = std::chrono::seconds(10);
};

/// Quota of an organisation over all VMs.
struct Quota {
  double m_PerSecond = 0;
  double m_Burst = 0;
  bool operator==(const Quota &) const = default;
};

/// Requests in a window that the rule allows beyond rate * window + burst.
double tolerance(const QuotaPolicy &Policy, const Quota &Of);

/// An entry VM as known to this one.
struct Member {
  VmKey m_Vm = 0;
  uint32_t m_DataCentre = 0;
  /// Heard within the failure timeout and not leaving.
  bool m_IsLive = false;
  /// False while only its address is known.
  bool m_WasHeard = true;
  bool operator==(const Member &) const = default;
};

/// The known VMs that have not announced that they are leaving, this VM
/// included.
struct View {
  VmKey m_Self = 0;
  /// Changes whenever the members do.
  uint64_t m_Version = 0;
  std::vector<Member> m_Members;
  /// Whether more than half of the members are live. Otherwise this VM neither
  /// grants nor gives permissions.
  bool m_HearsMajority = false;
};

/// When each known VM was last live.
using LastLive = std::map<VmKey, TimePoint>;

/// Updates the known VMs from those that the fleet lists now. A VM that is no
/// longer listed stays known until it has been silent for m_ForgetAfter. It is
/// forgotten only while more than half of the known VMs are live: a smaller
/// group may be cut off from a larger one, and must not take itself for the
/// whole fleet. Left lists the VMs that have announced that they are leaving.
void updateView(View &Of, LastLive &Seen, const QuotaPolicy &Policy,
                std::span<const Member> Listed, std::span<const VmKey> Left,
                TimePoint Now);

enum class Purpose : uint8_t {
  /// Asks for a token.
  Token,
  /// Asks a keeper for a token of its part of the reserve.
  Reserve,
  /// Asks a keeper for permission to grant.
  Permit,
  /// Returns the permission.
  Release,
};

struct Ask {
  /// Chosen by the origin; for a permission, the time of sending in
  /// microseconds of the origin's clock.
  uint64_t m_Id = 0;
  std::string m_Organisation;
  VmKey m_Origin = 0;
  Purpose m_Purpose = Purpose::Token;
  /// How often the ask has been forwarded.
  uint32_t m_Hops = 0;
};

struct Grant {
  uint64_t m_Id = 0;
  VmKey m_Origin = 0;
  bool m_IsGranted = false;
  /// For a refused token: when to ask again.
  Duration m_RetryAfter{};
  /// Set in the answer to a request for permission, with the fields below.
  std::optional<std::string> m_Permit;
  /// Time since another VM last had the permission, and since the VM that has
  /// it last changed before the present one.
  Duration m_OtherAge{};
  Duration m_ChangeAge{};
};

struct Bucket {
  double m_Level = 0;
  TimePoint m_At{};
};

/// Order of the VMs for an organisation, for one version of the view.
struct Ranking {
  uint64_t m_Version = 0;
  /// The first and second live VM in rank; zero if there is none.
  VmKey m_First = 0;
  VmKey m_Second = 0;
  std::vector<VmKey> m_Keepers;
};

/// What one keeper has answered to a VM that wants to grant.
struct Permit {
  TimePoint m_AskedAt{};
  TimePoint m_Until{};
  /// When another VM last had the permission, and when that VM changed.
  TimePoint m_OtherAt{};
  TimePoint m_ChangeAt{};
};

/// A VM that was asked for tokens.
struct Responder {
  TimePoint m_AnsweredAt{};
  TimePoint m_SkippedUntil{};
};

/// State of one organisation at one VM.
struct OrganisationState {
  Quota m_Quota;
  Ranking m_Ranking;

  // As granter.
  Bucket m_Tokens;
  std::map<VmKey, Permit> m_Permits;
  /// End of the permission last held by this process; zero if there was none.
  TimePoint m_HeldUntil{};
  bool m_IsGranter = false;
  TimePoint m_AskedAt{};
  /// Latest time promised in a refusal.
  TimePoint m_PromisedAt{};
  /// A keeper that regards another VM as first in rank; asks are forwarded to
  /// it. Zero if there is none.
  VmKey m_Bridge = 0;

  // As keeper.
  VmKey m_Holder = 0;
  TimePoint m_HolderUntil{};
  /// Id of the holder's latest request for permission.
  uint64_t m_HolderAskId = 0;
  TimePoint m_ChangedAt{};
  TimePoint m_OtherUntil{};
  TimePoint m_OtherChangedAt{};
  Bucket m_Reserve;

  // As asker.
  std::map<VmKey, Responder> m_Responders;
  std::deque<TimePoint> m_SparesUntil;
  size_t m_KeeperTurn = 0;
};

/// An ask of this VM that has no answer yet.
struct PendingAsk {
  std::string m_Organisation;
  /// 0: first in rank; 1: second; 2: a keeper's reserve.
  uint32_t m_Step = 0;
  VmKey m_Asked = 0;
  /// Keepers asked for a token of their reserve.
  size_t m_KeepersAsked = 0;
  TimePoint m_StepEndsAt{};
  TimePoint m_ResendAt{};
};

/// Quotas as seen by one VM. Modify only through the functions below.
struct QuotaState {
  TimePoint m_StartedAt{};
  /// When quotas were last removed.
  std::map<std::string, TimePoint, std::less<>> m_Removed;
  std::map<std::string, OrganisationState, std::less<>> m_Organisations;
  std::map<uint64_t, PendingAsk> m_Pending;
  uint64_t m_LastId = 0;
  using AskKey = std::pair<VmKey, uint64_t>;
  struct Answered {
    Grant m_Answer;
    TimePoint m_At{};
  };
  std::map<AskKey, Answered> m_Answers;
  /// Where answers to forwarded asks go.
  struct WayBack {
    VmKey m_To = 0;
    TimePoint m_At{};
  };
  std::map<AskKey, WayBack> m_WaysBack;
  TimePoint m_PurgedAt{};
  /// When permissions are next looked at; TimePoint::max() if no organisation
  /// needs one.
  TimePoint m_PermitsDueAt = TimePoint::max();
};

enum class Cause : uint8_t { Granted, OverQuota, NoGranter };

/// The answer to a request of this VM.
struct Decision {
  uint64_t m_Id = 0;
  Cause m_Cause = Cause::Granted;
  Duration m_RetryAfter{};
  /// The step at which it was answered.
  uint32_t m_Step = 0;
};

/// What the host has to do.
struct Effects {
  std::vector<std::pair<VmKey, Ask>> m_Asks;
  std::vector<std::pair<VmKey, Grant>> m_Grants;
  std::vector<Decision> m_Decisions;
};

QuotaState makeState(TimePoint Now);

/// Sets the quotas of all organisations; the others are forgotten.
void setQuotas(QuotaState &State,
               const std::map<std::string, Quota, std::less<>> &Quotas,
               const QuotaPolicy &Policy, TimePoint Now);

/// What the functions below decide by.
struct Context {
  const QuotaPolicy &m_Policy;
  const View &m_View;
  TimePoint m_Now;
};

/// Asks for a token. Returns the id of the ask; its decision may be among the
/// effects already. The organisation must have a quota.
uint64_t requestToken(QuotaState &State, std::string_view Organisation,
                      const Context &In, Effects &Out);

/// Forgets an ask whose caller has left.
void cancel(QuotaState &State, uint64_t Id);

/// Keeps the token of a request that was not sent for the next one.
void giveBack(QuotaState &State, std::string_view Organisation,
              const Context &In);

void receiveAsk(QuotaState &State, VmKey From, const Ask &Received,
                const Context &In, Effects &Out);
void receiveGrant(QuotaState &State, VmKey From, const Grant &Received,
                  const Context &In, Effects &Out);

/// Does what is due: repeats asks, moves them to the next step, renews and
/// returns permissions. Call it at nextAt or later, and when the view changes.
void advance(QuotaState &State, const Context &In, Effects &Out);

/// When advance has something to do next.
TimePoint nextAt(const QuotaState &State);

/// Whether this VM may grant tokens of an organisation at this instant.
bool holdsPermission(const OrganisationState &Of, const Context &In);

} // namespace hyssopcross::quota

#endif
