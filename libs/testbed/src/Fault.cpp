#include "hyssopcross/testbed/Fault.h"
#include "hyssopcross/base/Invariant.h"
#include <algorithm>
#include <array>

namespace hyssopcross::testbed {

namespace {

constexpr std::array Words = {
    FaultWord{FaultKind::Kill, "kill", TargetKind::Party, ""},
    FaultWord{FaultKind::Stop, "stop", TargetKind::Entry, ""},
    FaultWord{FaultKind::Freeze, "freeze", TargetKind::Entry, ""},
    FaultWord{FaultKind::Cut, "cut", TargetKind::Party, ""},
    FaultWord{FaultKind::Delay, "delay", TargetKind::Party, "by_ms"},
    FaultWord{FaultKind::StoreDown, "store_down", TargetKind::None, ""},
    FaultWord{FaultKind::ListLag, "list_lag", TargetKind::None, "by_ms"},
    FaultWord{FaultKind::Slow, "slow", TargetKind::Server, "factor"},
    FaultWord{FaultKind::Drain, "drain", TargetKind::Server, ""},
    FaultWord{FaultKind::FailFast, "fail_fast", TargetKind::Server, ""},
    FaultWord{FaultKind::Cold, "cold", TargetKind::Server, ""},
    FaultWord{FaultKind::ColdWithoutWarning, "cold_without_warning",
              TargetKind::Server, ""},
    FaultWord{FaultKind::CrossAnswers, "cross_answers", TargetKind::Server, ""},
    FaultWord{FaultKind::LateAnswers, "late_answers", TargetKind::Server,
              "by_ms"},
    FaultWord{FaultKind::CutAnswers, "cut_answers", TargetKind::Server, ""},
    FaultWord{FaultKind::DataCentreOut, "data_centre_out",
              TargetKind::DataCentre, ""},
    FaultWord{FaultKind::DataCentreBack, "data_centre_back",
              TargetKind::DataCentre, ""},
    FaultWord{FaultKind::LimitConcurrency, "limit_concurrency",
              TargetKind::Service, "to"},
    FaultWord{FaultKind::LoadBurst, "load_burst", TargetKind::Service,
              "factor"},
    FaultWord{FaultKind::NoisyNeighbour, "noisy_neighbour", TargetKind::Key,
              "factor"},
};

} // namespace

std::span<const FaultWord> faultWords() { return Words; }

const FaultWord &faultWord(FaultKind Kind) {
  const auto *Found = std::ranges::find(Words, Kind, &FaultWord::m_Kind);
  HYSSOPCROSS_INVARIANT(Found != Words.end(), "every fault kind has a word");
  return *Found;
}

std::optional<FaultWord> findFaultWord(std::string_view Name) {
  const auto *Found = std::ranges::find(Words, Name, &FaultWord::m_Name);
  if (Found == Words.end())
    return std::nullopt;
  return *Found;
}

} // namespace hyssopcross::testbed
