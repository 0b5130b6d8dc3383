#ifndef HYSSOPCROSS_DISPATCH_CRASHSUSPECTS_H
#define HYSSOPCROSS_DISPATCH_CRASHSUSPECTS_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/dispatch/Policy.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hyssopcross::dispatch {

struct ServerView;

/// Identifies requests that a server cannot tell apart, except for what is new
/// in each attempt of a caller.
using RequestFingerprint = uint64_t;

/// An incarnation of a server that crashed with a request in progress.
struct Crash {
  std::string m_Server;
  int64_t m_Incarnation = 0;
  TimePoint m_At{};
};

/// What is known of a request that was in progress when servers crashed.
struct Suspect {
  /// Each crash once, the one that was reported last at the end.
  std::vector<Crash> m_Crashes;
  /// When a server last completed the request; crashes before do not count.
  TimePoint m_ClearedAt{};
};

/// An attempt whose connection the server closed without a response. The server
/// may have crashed, or only lost the connection.
struct CutOffAttempt {
  RequestFingerprint m_Request = 0;
  Crash m_Possible;
};

/// The requests that may crash servers, as known to one VM. Used through the
/// functions below; performs no I/O.
struct CrashSuspects {
  std::map<RequestFingerprint, Suspect> m_Suspects;
  std::vector<CutOffAttempt> m_CutOff;
};

/// Records an attempt whose connection the server closed without a response.
void recordCutOff(CrashSuspects &State, const DispatchPolicy &Policy,
                  const CutOffAttempt &Seen);

/// Decides which of the recorded attempts were in progress at a crash: the
/// server has ended or has started again. Returns their requests, each
/// once. Attempts whose server is still there after m_CrashConfirmTime, or was
/// leaving, are dropped. Called several times a second.
std::vector<RequestFingerprint> confirmCrashes(CrashSuspects &State,
                                               const ServerView &View,
                                               const DispatchPolicy &Policy,
                                               TimePoint Now);

/// Adds what another VM knows of a suspect. Returns whether anything was new.
bool mergeSuspect(CrashSuspects &State, const DispatchPolicy &Policy,
                  RequestFingerprint Request, const Suspect &Known,
                  TimePoint Now);

/// Records that a server has completed a request. Returns whether it was a
/// suspect.
bool clearSuspect(CrashSuspects &State, RequestFingerprint Request,
                  TimePoint Now);

/// Whether a request was in progress at a crash since it was last completed.
/// Callers of this function neither hedge nor repeat such a request.
bool isSuspect(const CrashSuspects &State, RequestFingerprint Request);

/// Until when a request is not sent to any server because it has crashed too
/// many; in the past if it may be sent. A crash is attributed to those requests
/// in progress that were in progress at the most crashes.
TimePoint quarantinedUntil(const CrashSuspects &State,
                           const DispatchPolicy &Policy,
                           RequestFingerprint Request);

/// The suspects with a crash or completion since a time, for the other VMs.
std::map<RequestFingerprint, Suspect> suspectsSince(const CrashSuspects &State,
                                                    TimePoint Since);

/// Forgets crashes that are too long ago, and releases requests from quarantine
/// for one further attempt.
void expireSuspects(CrashSuspects &State, const DispatchPolicy &Policy,
                    TimePoint Now);

} // namespace hyssopcross::dispatch

#endif
