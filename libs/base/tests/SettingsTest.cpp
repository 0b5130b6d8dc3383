#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/base/Settings.h"
#include <doctest/doctest.h>

using namespace hyssopcross;

TEST_CASE("an address is read or refused with the reason") {
  struct Row {
    const char *m_Text;
    bool m_Valid;
    const char *m_Message;
  };
  const Row Rows[] = {
      {"127.0.0.1:80", true, ""},
      {"10.0.0.7:65535", true, ""},
      {"127.0.0.1", false, "address \"127.0.0.1\" has no port"},
      {"localhost:80", false,
       "address \"localhost:80\" does not start with an IPv4 address"},
      {"127.0.0.1:0", false,
       "address \"127.0.0.1:0\" has a port outside 1 to 65535"},
      {"127.0.0.1:65536", false,
       "address \"127.0.0.1:65536\" has a port outside 1 to 65535"},
      {"127.0.0.1:80x", false,
       "address \"127.0.0.1:80x\" has a port outside 1 to 65535"},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Text);
    auto Parsed = parseAddress(Case.m_Text);
    REQUIRE(Parsed.has_value() == Case.m_Valid);
    if (Case.m_Valid)
      CHECK(Parsed.value().toString() == Case.m_Text);
    else
      CHECK(Parsed.error().m_Message == Case.m_Message);
  }
}

TEST_CASE("a list is split without its empty parts") {
  CHECK(splitList("", ',').empty());
  CHECK(splitList(",", ',').empty());
  CHECK(splitList("a,,b", ',') == std::vector<std::string_view>{"a", "b"});
}
