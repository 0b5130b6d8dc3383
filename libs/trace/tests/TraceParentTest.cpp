#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "hyssopcross/trace/Tracer.h"
#include <doctest/doctest.h>

using namespace hyssopcross::trace;

TEST_CASE("a traceparent header is read or refused") {
  struct Row {
    const char *m_Text;
    bool m_Valid;
  };
  const Row Rows[] = {
      {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true},
      {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00", true},
      {"", false},
      {"01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false},
      {"00-00000000000000000000000000000000-b7ad6b7169203331-01", false},
      {"00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", false},
      {"00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false},
      {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0", false},
  };
  for (const Row &Case : Rows) {
    CAPTURE(Case.m_Text);
    auto Parsed = parseTraceParent(Case.m_Text);
    REQUIRE(Parsed.has_value() == Case.m_Valid);
    if (Parsed)
      CHECK(formatTraceParent(*Parsed) == Case.m_Text);
  }
}

TEST_CASE("a span continues the trace of its parent") {
  Tracer Spans(0.0, 1);
  const char *Parent =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-00";
  HopSpan Child = Spans.start("hop", Parent);
  CHECK(formatTraceId(Child.context()) == "0af7651916cd43dd8448eb211c80319c");
  CHECK(formatSpanId(Child.context().m_Span) != "b7ad6b7169203331");
  CHECK_FALSE(Child.context().m_Sampled);
  HopSpan Root = Spans.start("hop", "");
  CHECK(formatTraceId(Root.context()) != formatTraceId(Child.context()));
}
