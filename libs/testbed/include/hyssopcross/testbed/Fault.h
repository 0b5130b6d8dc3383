#ifndef HYSSOPCROSS_TESTBED_FAULT_H
#define HYSSOPCROSS_TESTBED_FAULT_H

#include "hyssopcross/base/Clock.h"
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace hyssopcross::testbed {

/// What can happen to the environment during a run.
enum class FaultKind {
  /// An entry VM or backend server is killed; it restarts after the duration.
  Kill,
  /// An entry VM is stopped gracefully: it hands its pools over.
  Stop,
  /// An entry VM is paused for the duration.
  Freeze,
  /// Messages from target to other are dropped for the duration.
  Cut,
  /// Messages from target to other take the amount of ms longer.
  Delay,
  /// The platform's store is down for the duration.
  StoreDown,
  /// The platform's list of servers lags by the amount of ms from now on.
  ListLag,
  /// A server works slower by the amount for the duration.
  Slow,
  /// A server drains: it says so, and the list says so after its lag.
  Drain,
  /// A server resets every request for the duration without running it.
  FailFast,
  /// A server restarts cold under a new boot identity.
  Cold,
  /// A server turns cold; its boot identity stays.
  ColdWithoutWarning,
  /// A server swaps the answers of requests for the duration.
  CrossAnswers,
  /// A server sends its answers the amount of ms late for the duration.
  LateAnswers,
  /// A server sends only a part of each answer for the duration.
  CutAnswers,
  /// Operators take a data centre out of service.
  DataCentreOut,
  /// Operators bring a data centre back; its servers restart cold.
  DataCentreBack,
  /// Operators set the concurrency limit of a service to the amount.
  LimitConcurrency,
  /// The load on a service is multiplied by the amount for the duration.
  LoadBurst,
  /// The load of one share key is multiplied by the amount for the duration.
  NoisyNeighbour,
};

/// One fault. Which fields it uses depends on its kind.
struct Fault {
  FaultKind m_Kind = FaultKind::Kill;
  /// Name of an entry VM, backend server, data centre, service or share key.
  std::string m_Target;
  /// The other party of a cut or delay.
  std::string m_Other;
  /// How long it lasts; zero for the rest of the run.
  Duration m_For{};
  double m_Amount = 0;
  /// Whether a cut or delay holds in both directions.
  bool m_BothWays = true;
};

/// What names a fault's target.
enum class TargetKind { None, Entry, Server, Party, DataCentre, Service, Key };

/// The vocabulary entry of a fault kind.
struct FaultWord {
  FaultKind m_Kind;
  /// Its name in scenario files.
  std::string_view m_Name;
  TargetKind m_Target;
  /// The name of its amount in scenario files; empty if it has none.
  std::string_view m_Amount;
};

/// All faults that this host supports.
std::span<const FaultWord> faultWords();

/// The word for a kind.
const FaultWord &faultWord(FaultKind Kind);

/// The word with this name, if there is one.
std::optional<FaultWord> findFaultWord(std::string_view Name);

} // namespace hyssopcross::testbed

#endif
