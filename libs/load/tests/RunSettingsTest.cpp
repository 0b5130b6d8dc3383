#include "hyssopcross/load/RunSettings.h"
#include <doctest/doctest.h>
#include <functional>
#include <limits>

using namespace hyssopcross;
using namespace hyssopcross::load;

namespace {

RunFlags goodFlags() {
  RunFlags Flags;
  Flags.m_Entries = "127.0.0.1:1,127.0.0.1:2";
  Flags.m_Services = "b:money:1,a:lookup:1";
  Flags.m_DataCentres = "x,y";
  Flags.m_Backends = "127.0.0.1:3";
  Flags.m_Direct = "127.0.0.1:3";
  return Flags;
}

} // namespace

TEST_CASE("good flags become settings") {
  RunFlags Flags = goodFlags();
  Flags.m_MaxAddedP99Ms = 0.32;
  auto Run = checkRunFlags(Flags);
  REQUIRE(Run.has_value());
  CHECK(Run.value().m_Entries.size() == 2);
  CHECK(Run.value().m_Plan.m_Length == std::chrono::seconds(10));
  CHECK(Run.value().m_MaxAddedP99 == std::chrono::microseconds(320));
  REQUIRE(Run.value().m_Added.has_value());
  CHECK(Run.value().m_Added->m_Service == "a");
  CHECK(Run.value().m_Added->m_DataCentre == "x");
  Flags.m_Direct = "";
  Flags.m_MaxAddedP99Ms = -1;
  Run = checkRunFlags(Flags);
  REQUIRE(Run.has_value());
  CHECK_FALSE(Run.value().m_Added.has_value());
  CHECK_FALSE(Run.value().m_MaxAddedP99.has_value());
}

TEST_CASE("a bad flag is named with what is wrong with it") {
  struct Row {
    std::function<void(RunFlags &)> m_Spoil;
    const char *m_Message;
  };
  constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();
  const Row Rows[] = {
      {[](RunFlags &Flags) { Flags.m_Entries = ""; }, "--entries is empty"},
      {[](RunFlags &Flags) { Flags.m_Entries = "x"; },
       "--entries: address \"x\" has no port"},
      {[](RunFlags &Flags) { Flags.m_Backends = ""; }, "--backends is empty"},
      {[](RunFlags &Flags) { Flags.m_Services = ""; }, "no service is named"},
      {[](RunFlags &Flags) { Flags.m_DataCentres = ","; },
       "--data_centres is empty"},
      {[](RunFlags &Flags) { Flags.m_Seconds = 0; },
       "--seconds is not above zero and at most a day"},
      {[](RunFlags &Flags) { Flags.m_Seconds = NotANumber; },
       "--seconds is not above zero and at most a day"},
      {[](RunFlags &Flags) { Flags.m_SettleSeconds = -1; },
       "--settle_seconds is negative or more than a day"},
      {[](RunFlags &Flags) { Flags.m_MaxAddedP99Ms = NotANumber; },
       "--max_added_p99_ms is not a number"},
      {[](RunFlags &Flags) { Flags.m_Threads = 0; }, "--threads is zero"},
      {[](RunFlags &Flags) { Flags.m_TimeoutMs = 0; }, "--timeout_ms is zero"},
      {[](RunFlags &Flags) { Flags.m_UploadBytes = 0; },
       "--upload_bytes is zero"},
      {[](RunFlags &Flags) { Flags.m_DirectPairs = 0; },
       "--direct_pairs is zero"},
      {[](RunFlags &Flags) { Flags.m_Direct = "x"; },
       "--direct: address \"x\" has no port"},
      {[](RunFlags &Flags) { Flags.m_Direct = "127.0.0.1:1,127.0.0.1:2"; },
       "--direct names more than one"},
      {[](RunFlags &Flags) { Flags.m_Services = "b:money:1"; },
       "--direct needs a service of the class lookup"},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Message);
    RunFlags Flags = goodFlags();
    Case.m_Spoil(Flags);
    auto Run = checkRunFlags(Flags);
    REQUIRE(Run.has_error());
    CHECK(Run.error().m_Message == Case.m_Message);
  }
}
