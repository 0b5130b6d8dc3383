#include "World.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace hyssopcross;
using namespace hyssopcross::balancing;
using namespace hyssopcross::balancing::tests;
using catalogue::ServiceClass;

namespace {

constexpr int Runs = 150;
constexpr int MaxCommands = 400;

/// Checks a property with a fixed seed, so that every run is the same.
template <typename Property>
bool holds(uint64_t Seed, const std::string &Name, Property &&Checked) {
  rc::detail::TestParams Params;
  Params.seed = Seed;
  Params.maxSuccess = Runs;
  Params.maxSize = MaxCommands;
  auto Result =
      rc::detail::checkTestable(std::forward<Property>(Checked),
                                rc::detail::TestMetadata{Name, Name}, Params);
  if (Result.template is<rc::detail::SuccessResult>())
    return true;
  rc::detail::printResultMessage(Result, std::cerr);
  std::cerr << '\n';
  return false;
}

rc::Gen<std::vector<Command>> commands() {
  return rc::gen::container<std::vector<Command>>(rc::gen::build<Command>(
      rc::gen::set(&Command::m_Kind, rc::gen::inRange<uint8_t>(0, UINT8_MAX)),
      rc::gen::set(&Command::m_A, rc::gen::inRange<uint8_t>(0, UINT8_MAX)),
      rc::gen::set(&Command::m_B, rc::gen::inRange<uint8_t>(0, UINT8_MAX))));
}

} // namespace

TEST_CASE("random runs end every call once and keep all invariants") {
  struct Row {
    std::string m_Name;
    ServiceClass m_Class;
    ChoicePolicy m_Choice;
    uint32_t m_Concurrency;
    uint64_t m_Seed;
  };
  const Row Rows[] = {
      {"lookup", ServiceClass::Lookup, ChoicePolicy::OwnerQueue, 0, 11},
      {"lookup, limited", ServiceClass::Lookup, ChoicePolicy::OwnerQueue, 3,
       12},
      {"money", ServiceClass::Money, ChoicePolicy::OwnerQueue, 0, 13},
      {"upload", ServiceClass::Upload, ChoicePolicy::OwnerQueue, 0, 14},
      {"random", ServiceClass::Lookup, ChoicePolicy::Random, 0, 15},
      {"two choices", ServiceClass::Money, ChoicePolicy::TwoChoices, 0, 16},
      {"least reported", ServiceClass::Lookup, ChoicePolicy::LeastReported, 0,
       17},
      {"probe pool", ServiceClass::Lookup, ChoicePolicy::ProbePool, 0, 18},
  };
  ThrowingInvariants Throwing;
  for (const Row &Row : Rows) {
    CAPTURE(Row.m_Name);
    auto Property = [&Row] {
      catalogue::ServiceEntry Entry = makeEntry(Row.m_Class);
      Entry.m_Limits.m_Concurrency = Row.m_Concurrency;
      Entry.m_Limits.m_Queue = 12;
      PoolPolicy Policy;
      Policy.m_Choice = Row.m_Choice;
      World World(Entry, Policy, Row.m_Seed);
      for (const Command &Command : *commands())
        World.run(Command);
      World.finish();
    };
    CHECK(holds(Row.m_Seed, Row.m_Name, Property));
  }
}
