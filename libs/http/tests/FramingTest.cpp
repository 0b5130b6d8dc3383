#include "FramingReader.h"
#include <doctest/doctest.h>

using namespace hyssopcross::http;
using namespace hyssopcross::http::test;

namespace {

struct RefusedCase {
  std::string m_Guards;
  std::string m_Bytes;
  InputFault m_Fault;
};

struct AcceptedCase {
  std::string m_Guards;
  std::string m_Bytes;
  std::string m_Body;
};

std::string post(const std::string &Fields, const std::string &Body = "") {
  return "POST /a HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n" + Body;
}

std::string chunked(const std::string &Body) {
  return post("Transfer-Encoding: chunked\r\n", Body);
}

/// The bytes in one segment, and one byte at a time.
std::vector<std::vector<std::string>> splits(const std::string &Bytes) {
  std::vector<std::string> Single;
  for (char Each : Bytes)
    Single.emplace_back(1, Each);
  return {{Bytes}, Single};
}

const std::string Empty = "0\r\n\r\n";

const std::vector<RefusedCase> Refused = {
    {"a signed length is read as a number by some readers",
     post("Content-Length: +3\r\n", "abc"), InputFault::ContentLength},
    {"a negative length wraps around", post("Content-Length: -1\r\n", "abc"),
     InputFault::ContentLength},
    {"a length is cut at a space", post("Content-Length: 1 2\r\n", "abc"),
     InputFault::ContentLength},
    {"an empty length is read as zero", post("Content-Length: \r\n", "abc"),
     InputFault::ContentLength},
    {"a hexadecimal length is read as zero",
     post("Content-Length: 0x3\r\n", "abc"), InputFault::ContentLength},
    {"a length overflows to a small one",
     post("Content-Length: 18446744073709551619\r\n", "abc"),
     InputFault::ContentLength},
    {"a list of lengths is read as its first value",
     post("Content-Length: 3, 4\r\n", "abc"), InputFault::ContentLength},
    {"of two lengths, readers take different ones",
     post("Content-Length: 3\r\nContent-Length: 4\r\n", "abc"),
     InputFault::ContentLength},
    {"a repeated length in another case is missed",
     post("Content-Length: 3\r\ncontent-length: 4\r\n", "abc"),
     InputFault::ContentLength},
    {"chunked twice is read as chunked once",
     post("Transfer-Encoding: chunked, chunked\r\n", Empty),
     InputFault::TransferCoding},
    {"another coding is lost before the body is forwarded",
     post("Transfer-Encoding: gzip, chunked\r\n", Empty),
     InputFault::TransferCoding},
    {"a body whose last coding is not chunked is executed as a request",
     post("Transfer-Encoding: chunked, identity\r\n", Empty),
     InputFault::TransferCoding},
    {"an unknown coding is read as no body",
     post("Transfer-Encoding: xchunked\r\n", Empty),
     InputFault::TransferCoding},
    {"an empty coding is read as no body",
     post("Transfer-Encoding:\r\n", Empty), InputFault::TransferCoding},
    {"of two coding fields, one is ignored",
     post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          Empty),
     InputFault::TransferCoding},
    {"a length after a coding takes precedence",
     post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", Empty),
     InputFault::TransferCoding},
    {"a length before a coding takes precedence",
     post("Content-Length: 5\r\nTRANSFER-ENCODING: chunked\r\n", Empty),
     InputFault::TransferCoding},
    {"a coding with parameters is not recognised",
     post("Transfer-Encoding: chunked;q=1\r\n", Empty),
     InputFault::TransferCoding},
    {"a coding in HTTP/1.0 is ignored by older readers",
     "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
         Empty,
     InputFault::TransferCoding},
    {"a bare CR ends a line for some readers",
     post("A: b\rContent-Length: 3\r\n"), InputFault::Head},
    {"a CR before the end of the line is taken as an empty line",
     post("A: b\r\r\n"), InputFault::Head},
    {"a bare LF ends a line for some readers",
     post("A: b\nContent-Length: 3\r\n"), InputFault::Head},
    {"a bare LF ends the head", "GET / HTTP/1.1\r\nHost: h\r\n\n",
     InputFault::Head},
    {"a name with a space before the colon is ignored",
     post("Content-Length : 3\r\n", "abc"), InputFault::Head},
    {"a name with a tab before the colon is ignored",
     post("Transfer-Encoding\t: chunked\r\n", Empty), InputFault::Head},
    {"a folded line is read as a field",
     post("A: b\r\n Content-Length: 3\r\n", "abc"), InputFault::Head},
    {"a line folded with a tab is read as part of a coding",
     post("Transfer-Encoding:\r\n\tchunked\r\n", Empty),
     InputFault::TransferCoding},
    {"NUL ends a value for some readers",
     post("A: b" + std::string(1, '\0') + "c\r\n"), InputFault::Head},
    {"NUL ends a name for some readers",
     post("A" + std::string(1, '\0') + ": c\r\n"), InputFault::Head},
    {"a line without a colon is ignored", post("Content-Length 3\r\n"),
     InputFault::Head},
    {"an empty name is ignored", post(": 3\r\n"), InputFault::Head},
    {"a chunk size overflows to a small one",
     chunked("10000000000000003\r\nabc\r\n" + Empty), InputFault::BodyBytes},
    {"leading zeros of a chunk size never end",
     chunked("00000000000000003\r\nabc\r\n" + Empty), InputFault::Chunk},
    {"a chunk size over the limit is reserved",
     chunked("ffffffffffffffff\r\nabc"), InputFault::BodyBytes},
    {"a signed chunk size is read as a number",
     chunked("+3\r\nabc\r\n" + Empty), InputFault::Chunk},
    {"a prefix of a chunk size is read as zero",
     chunked("0x3\r\nabc\r\n" + Empty), InputFault::Chunk},
    {"an empty chunk size ends the body", chunked("\r\n\r\n"),
     InputFault::Chunk},
    {"a space after a chunk size without an extension",
     chunked("3 \r\nabc\r\n" + Empty), InputFault::Chunk},
    {"a chunk size ends with a bare LF", chunked("3\nabc\r\n" + Empty),
     InputFault::Chunk},
    {"an extension hides a bare LF", chunked("3;a\nabc\r\n" + Empty),
     InputFault::Chunk},
    {"data is longer than its chunk", chunked("3\r\nabcd\r\n" + Empty),
     InputFault::Chunk},
    {"an endless extension uses up memory",
     chunked("3;" + std::string(TestLimits.m_ExtraBytes, 'a')),
     InputFault::ExtraBytes},
    {"an endless trailer uses up memory",
     chunked("0\r\nA: " + std::string(TestLimits.m_ExtraBytes, 'a')),
     InputFault::ExtraBytes},
    {"a folded trailer", chunked("0\r\nA: b\r\n c\r\n\r\n"),
     InputFault::Trailer},
    {"a trailer with a space before the colon", chunked("0\r\nA : b\r\n\r\n"),
     InputFault::Trailer},
    {"a trailer with a bare LF", chunked("0\r\nA: b\n\r\n"),
     InputFault::Trailer},
    {"the target names another host than the one that is routed",
     "GET http://x/a HTTP/1.1\r\nHost: h\r\n\r\n", InputFault::Host},
    {"the target names another port",
     "GET http://h:81/a HTTP/1.1\r\nHost: h\r\n\r\n", InputFault::Host},
    {"user information in a target is taken for the host",
     "GET http://h@x/a HTTP/1.1\r\nHost: h\r\n\r\n", InputFault::Host},
    {"of two hosts, readers take different ones",
     "GET / HTTP/1.1\r\nHost: h\r\nhost: x\r\n\r\n", InputFault::Host},
    {"the body of TRACE ends the process",
     "TRACE / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
     InputFault::TraceBody},
};

const std::vector<AcceptedCase> Accepted = {
    {"a plain request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", ""},
    {"a request of HTTP/1.0", "GET / HTTP/1.0\r\n\r\n", ""},
    {"a HEAD request", "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n", ""},
    {"a persistent connection",
     "GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n", ""},
    {"a body with a length", post("Content-Length: 3\r\n", "abc"), "abc"},
    {"white space around a length", post("Content-Length: \t3 \r\n", "abc"),
     "abc"},
    {"an empty body", post("Content-Length: 0\r\n"), ""},
    {"a body that resembles a request",
     post("Content-Length: 18\r\n", "GET / HTTP/1.1\r\n\r\n"),
     "GET / HTTP/1.1\r\n\r\n"},
    {"an empty field", post("A:\r\nContent-Length: 1\r\n", "x"), "x"},
    {"a chunked body", chunked("3\r\nabc\r\n" + Empty), "abc"},
    {"chunked in another case",
     post("transfer-encoding: Chunked\r\n", "3\r\nabc\r\n" + Empty), "abc"},
    {"several chunks with sizes in either case",
     chunked("A\r\n0123456789\r\na\r\nabcdefghij\r\n" + Empty),
     "0123456789abcdefghij"},
    {"leading zeros of a chunk size", chunked("0003\r\nabc\r\n000\r\n\r\n"),
     "abc"},
    {"extensions", chunked("3;a=b\r\nabc\r\n1 ; c=\"d;e\"\r\nd\r\n0;f\r\n\r\n"),
     "abcd"},
    {"trailers", chunked("3\r\nabc\r\n0\r\nA: b\r\nC:\r\n\r\n"), "abc"},
    {"a chunk whose data resembles the end of the body",
     chunked("5\r\n0\r\n\r\n\r\n" + Empty), "0\r\n\r\n"},
    {"an absolute form with the same host",
     "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", ""},
    {"an absolute form with the same host in another case",
     "GET http://H:80?q HTTP/1.1\r\nHost: h:80\r\n\r\n", ""},
};

} // namespace

TEST_CASE("requests that readers understand differently are refused") {
  for (const RefusedCase &Each : Refused) {
    CAPTURE(Each.m_Guards);
    for (const auto &Segments : splits(Each.m_Bytes)) {
      StreamReading Read = readSegments(Segments);
      CHECK(Read.m_Requests.empty());
      REQUIRE(Read.m_Fault);
      CHECK(std::string(inputFaultName(*Read.m_Fault)) ==
            std::string(inputFaultName(Each.m_Fault)));
    }
  }
}

// Guards against checks that refuse ordinary callers, and against bytes of the
// next request that are taken for a part of this one.
TEST_CASE("well-formed requests are accepted with their bodies") {
  const std::string Next = "GET /next HTTP/1.1\r\nHost: h\r\n\r\n";
  for (const AcceptedCase &Each : Accepted) {
    CAPTURE(Each.m_Guards);
    for (const auto &Segments : splits(Each.m_Bytes + Next)) {
      StreamReading Read = readSegments(Segments);
      CHECK_FALSE(Read.m_Fault);
      REQUIRE(Read.m_Requests.size() == 2);
      CHECK(Read.m_Requests[0].m_Body == Each.m_Body);
      CHECK(Read.m_Requests[0].m_End == Each.m_Bytes.size());
      CHECK(Read.m_Requests[1].m_Target == "/next");
    }
  }
}
