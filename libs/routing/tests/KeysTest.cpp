#include "hyssopcross/routing/Keys.h"
#include <chrono>
#include <doctest/doctest.h>

using namespace hyssopcross::routing;

namespace {

Configuration makeConfiguration(
    const std::vector<std::pair<std::string, std::vector<std::string>>>
        &Given) {
  Configuration Made;
  Made.m_Organisations.emplace();
  for (const auto &[Name, Keys] : Given) {
    Organisation &Each = (*Made.m_Organisations)[Name];
    Each.m_Name = Name;
    Each.m_Keys = Keys;
  }
  return Made;
}

} // namespace

// Guards against a key that is taken for that of another organisation, and
// against a missing key that matches one.
TEST_CASE("a key is found only as a whole and only at its organisation") {
  Configuration Config = makeConfiguration(
      {{"one", {"k1", "key-that-is-longer-than-sixteen-bytes"}},
       {"two", {"k2", "K1"}},
       {"none", {}}});
  struct Case {
    std::string_view m_Key;
    std::string_view m_Organisation;
  };
  using namespace std::string_view_literals;
  const Case Cases[] = {
      {"k1", "one"},
      {"K1", "two"},
      {"k2", "two"},
      {"key-that-is-longer-than-sixteen-bytes", "one"},
      {"key-that-is-longer-than-sixteen-byteS", ""},
      {"key-that-is-longer-than-sixteen-bytes ", ""},
      {"", ""},
      {"k", ""},
      {"k11", ""},
      {"k1\0"sv, ""},
      {"one", ""},
  };
  // The result does not depend on the seed.
  for (uint64_t Seed : {uint64_t(0), uint64_t(1), UINT64_MAX}) {
    KeyTable Table(Config, Seed);
    for (const Case &Each : Cases) {
      CAPTURE(Each.m_Key);
      const Organisation *Found = Table.find(Each.m_Key);
      CHECK((Found ? std::string_view(Found->m_Name) : "") ==
            Each.m_Organisation);
    }
  }
}

// Guards against a comparison that skips bytes at either end.
TEST_CASE("the comparison in constant time finds each single difference") {
  const std::string Text = "0123456789abcdef!";
  CHECK(equalInConstantTime(Text, Text));
  CHECK(equalInConstantTime("", ""));
  CHECK_FALSE(equalInConstantTime(Text, Text.substr(1)));
  for (size_t I = 0; I < Text.size(); ++I)
    for (int Bit = 0; Bit < 8; ++Bit) {
      std::string Other = Text;
      Other[I] = static_cast<char>(Other[I] ^ (1 << Bit));
      CAPTURE(I);
      CHECK_FALSE(equalInConstantTime(Text, Other));
    }
}

// Guards against a configuration in which it depends on chance whose request it
// is.
TEST_CASE("finds two organisations that share a key") {
  struct Case {
    const char *m_Name;
    Configuration m_Config;
    bool m_IsShared;
  };
  const Case Cases[] = {
      {"no organisations configured", {}, false},
      {"no organisation", makeConfiguration({}), false},
      {"distinct keys", makeConfiguration({{"a", {"1"}}, {"b", {"2"}}}), false},
      {"one organisation names a key twice",
       makeConfiguration({{"a", {"1", "1"}}, {"b", {"2"}}}), false},
      {"shared", makeConfiguration({{"a", {"1", "2"}}, {"b", {"3", "2"}}}),
       true},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    auto Shared = findSharedKey(Each.m_Config);
    CHECK(Shared.has_value() == Each.m_IsShared);
    if (Shared)
      CHECK(*Shared == std::pair<std::string, std::string>("a", "b"));
  }
}

// Guards against routes that are served without a key although they need one,
// and against a public route that loses the organisation of a known key.
TEST_CASE("only public routes are served without a known key") {
  Configuration Configured = makeConfiguration({{"one", {"k1"}}});
  Configuration Empty = makeConfiguration({});
  Configuration Without;
  Route Public;
  Public.m_IsPublic = true;
  Route Other;
  struct Case {
    const char *m_Name;
    const Configuration *m_Config;
    const Route *m_Route;
    std::string_view m_Key;
    bool m_IsAllowed;
    bool m_HasOrganisation;
  };
  const Case Cases[] = {
      {"known key", &Configured, &Other, "k1", true, true},
      {"unknown key", &Configured, &Other, "k2", false, false},
      {"no key", &Configured, &Other, "", false, false},
      {"public, known key", &Configured, &Public, "k1", true, true},
      {"public, unknown key", &Configured, &Public, "k2", true, false},
      {"public, no key", &Configured, &Public, "", true, false},
      {"unknown route, no key", &Configured, nullptr, "", false, false},
      {"no organisation", &Empty, &Other, "k1", false, false},
      {"none configured", &Without, &Other, "k1", true, false},
      {"none configured, no key", &Without, &Other, "", true, false},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.m_Name);
    KeyTable Table(*Each.m_Config, 7);
    KeyDecision Made =
        decideKey(*Each.m_Config, Table, Each.m_Route, Each.m_Key);
    CHECK(Made.m_IsAllowed == Each.m_IsAllowed);
    CHECK((Made.m_Organisation != nullptr) == Each.m_HasOrganisation);
    CHECK(Made.m_HasOrganisations == (Each.m_Config != &Without));
  }
}

// Guards against a priority of 0, the highest, that is taken for a missing one.
TEST_CASE("the priority of the organisation precedes that of the route") {
  Route For;
  For.m_Priority = 2;
  Organisation Given;
  CHECK(effectivePriority(nullptr, For) == 2);
  CHECK(effectivePriority(&Given, For) == 2);
  Given.m_Priority = 0;
  CHECK(effectivePriority(&Given, For) == 0);
  Given.m_Priority = 3;
  CHECK(effectivePriority(&Given, For) == 3);
}

// Guards against lookups whose cost grows with the number of organisations.
TEST_CASE("all keys of a thousand organisations are found") {
  std::vector<std::pair<std::string, std::vector<std::string>>> Given;
  Given.reserve(1000);
  for (int I = 0; I < 1000; ++I)
    Given.push_back({"o" + std::to_string(I),
                     {"a" + std::to_string(I), "b" + std::to_string(I)}});
  Configuration Config = makeConfiguration(Given);
  KeyTable Table(Config, 3);
  auto Began = std::chrono::steady_clock::now();
  constexpr int Rounds = 100;
  size_t Wrong = 0;
  for (int Round = 0; Round < Rounds; ++Round)
    for (const auto &[Name, Keys] : Given)
      for (const std::string &Key : Keys) {
        const Organisation *Found = Table.find(Key);
        Wrong += !Found || Found->m_Name != Name;
      }
  auto Took = std::chrono::steady_clock::now() - Began;
  CHECK(Wrong == 0);
  MESSAGE("ns per lookup: ",
          std::chrono::duration<double, std::nano>(Took).count() /
              (2000.0 * Rounds));
}
