#include "hyssopcross/store/Wire.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::store;

TEST_CASE("malformed messages are errors of the protocol") {
  const char *Texts[] = {"",
                         "{",
                         "[]",
                         "null",
                         "7",
                         "{}",
                         R"({"rows":7,"writes":7,"keys":7,"vms":7})",
                         R"({"rows":[{}],"writes":[{}],"keys":[7],"vms":[{}]})",
                         R"({"result":"perhaps","value":7,"version":"x"})"};
  for (const char *Text : Texts) {
    CAPTURE(Text);
    CHECK(decodeRow(Text).has_error());
    CHECK(decodeRows(Text).has_error());
    CHECK(decodeWrites(Text).has_error());
    CHECK(decodeCommitResult(Text).has_error());
    CHECK(decodeKeys(Text).has_error());
    CHECK(decodeVms(Text).has_error());
    CHECK(decodeVm(Text).has_error());
  }
  CHECK(decodeVm(R"({"name":"a","role":"cat","state":"live",)"
                 R"("data_centre":"","address":""})")
            .error()
            .m_Code == ErrorCode::Protocol);
}

TEST_CASE("messages are read back as they were written") {
  VmRecord Vm{"vm", VmRole::Entry, VmState::Live, "puno", "a", "p", ""};
  CHECK(decodeVm(encodeVm(Vm)).value() == Vm);
  const Write Writes[] = {{"k\"\n", UINT64_MAX, "v"}, {"d", 1, std::nullopt}};
  auto Read = decodeWrites(encodeWrites(Writes).value());
  REQUIRE(Read.has_value());
  REQUIRE(Read.value().size() == 2);
  CHECK(Read.value()[0].m_Key == "k\"\n");
  CHECK(Read.value()[0].m_ExpectedVersion == UINT64_MAX);
  CHECK(Read.value()[0].m_Value == "v");
  CHECK_FALSE(Read.value()[1].m_Value.has_value());
  const Write NotUtf8Write[] = {{"k", 0, "\xff"}};
  CHECK(encodeWrites(NotUtf8Write).error().m_Code == ErrorCode::InvalidInput);
  Row NotUtf8{"\xff", 1};
  CHECK(decodeRow(encodeRow(NotUtf8)).value().m_Value == "\xef\xbf\xbd");
}
