#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/protocol/Outcome.h"
#include <doctest/doctest.h>

using namespace hyssopcross;
using namespace hyssopcross::protocol;

TEST_CASE("outcome names are read back") {
  for (Outcome Value :
       {Outcome::Completed, Outcome::NotRun, Outcome::Unknown}) {
    auto Parsed = parseOutcome(outcomeName(Value));
    REQUIRE(Parsed.has_value());
    CHECK(Parsed.value() == Value);
  }
  CHECK(parseOutcome("done").has_error());
}

TEST_CASE("a content digest is the SHA-256 of the body") {
  struct Row {
    const char *m_Body;
    const char *m_Digest;
  };
  const Row Rows[] = {
      {"", "sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:"},
      {"abc", "sha-256=:ungWv48Bz+pBQUDeXa4iI7ADYaOWF3qctBD/YfIAFa0=:"},
  };
  for (const Row &Case : Rows)
    CHECK(contentDigest(Case.m_Body) == Case.m_Digest);
}
