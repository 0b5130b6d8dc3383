#include "hyssopcross/dispatch/Policy.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::dispatch;

TEST_CASE("a mechanism is disabled by its name") {
  struct Case {
    const char *m_Name;
    /// Null if there is no such mechanism.
    bool DispatchPolicy::*m_Switch;
  };
  const Case Cases[] = {
      {"hedge", &DispatchPolicy::m_Hedge},
      {"learn_servers", &DispatchPolicy::m_LearnServers},
      {"newest_first", &DispatchPolicy::m_NewestFirst},
      {"", nullptr},
      {"Hedge", nullptr},
  };
  for (const Case &Each : Cases) {
    CAPTURE(std::string(Each.m_Name));
    DispatchPolicy Policy;
    auto Off = disableMechanism(Policy, Each.m_Name);
    CHECK(Off.has_value() == (Each.m_Switch != nullptr));
    if (Each.m_Switch)
      CHECK_FALSE(Policy.*Each.m_Switch);
    else
      CHECK(Off.error().m_Code == ErrorCode::InvalidInput);
  }
}
