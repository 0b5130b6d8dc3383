#ifndef HYSSOPCROSS_HTTP_TESTS_FRAMINGREADER_H
#define HYSSOPCROSS_HTTP_TESTS_FRAMINGREADER_H

#include "Framing.h"
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <vector>

namespace hyssopcross::http::test {

/// A request as a reader understands it.
struct ReadRequest {
  std::string m_Method;
  std::string m_Target;
  std::string m_Body;
  /// Bytes of the stream up to the end of this request.
  size_t m_End = 0;

  bool operator==(const ReadRequest &Other) const {
    return m_Method == Other.m_Method && m_Target == Other.m_Target &&
           m_Body == Other.m_Body && m_End == Other.m_End;
  }
};

/// What a reader makes of a stream: the requests up to the first refusal or
/// unfinished request.
struct StreamReading {
  std::vector<ReadRequest> m_Requests;
  std::optional<InputFault> m_Fault;
};

constexpr ChunkLimits TestLimits{64UL * 1024, 1024};

/// Reads segments in the order of calls that ServerConnection makes, without
/// its sockets and its limits on heads.
inline StreamReading readSegments(const std::vector<std::string> &Segments) {
  namespace beast_http = boost::beast::http;
  StreamReading Result;
  std::string Buffer;
  HeadScan Scan;
  std::optional<Framing> Body;
  ChunkReader Chunks;
  ReadRequest Now;
  size_t Consumed = 0;
  auto Consume = [&](size_t Bytes) {
    Buffer.erase(0, Bytes);
    Consumed += Bytes;
  };
  auto Refuse = [&](InputFault Fault) {
    Result.m_Fault = Fault;
    return false;
  };
  auto ReadHead = [&] {
    HeadEnd End = findHeadEnd(Scan, Buffer);
    if (End.m_Fault)
      return Refuse(*End.m_Fault);
    if (End.m_Bytes == 0)
      return false;
    HeadCheck Checked =
        checkRequestHead(std::string_view(Buffer).substr(0, End.m_Bytes));
    if (Checked.m_Fault)
      return Refuse(*Checked.m_Fault);
    if (Checked.m_Framing.m_Length > TestLimits.m_BodyBytes)
      return Refuse(InputFault::BodyBytes);
    beast_http::request_parser<beast_http::string_body> Parser;
    Parser.eager(false);
    Parser.header_limit(UINT32_MAX);
    Parser.body_limit(UINT64_MAX);
    boost::system::error_code Failure;
    for (size_t Used = 0; Used < End.m_Bytes && !Failure;)
      Used += Parser.put(
          boost::asio::buffer(Buffer.data() + Used, End.m_Bytes - Used),
          Failure);
    if (Failure || !Parser.is_header_done())
      return Refuse(InputFault::Head);
    Now = {std::string(Parser.get().method_string()),
           std::string(Parser.get().target()), std::string(), 0};
    Consume(End.m_Bytes);
    Scan = {};
    Chunks = {};
    Body = Checked.m_Framing;
    return true;
  };
  auto ReadBody = [&] {
    bool IsDone = false;
    if (Body->m_IsChunked) {
      ChunkStep Step = readChunks(Chunks, Buffer, Now.m_Body, TestLimits);
      if (Step.m_Fault)
        return Refuse(*Step.m_Fault);
      Consume(Step.m_Used);
      IsDone = Chunks.m_State == ChunkReader::State::Done;
    } else {
      size_t Taken =
          std::min<size_t>(Body->m_Length - Now.m_Body.size(), Buffer.size());
      Now.m_Body.append(Buffer, 0, Taken);
      Consume(Taken);
      IsDone = Now.m_Body.size() == Body->m_Length;
    }
    if (!IsDone)
      return false;
    Now.m_End = Consumed;
    Result.m_Requests.push_back(Now);
    Body.reset();
    return true;
  };
  for (const std::string &Each : Segments) {
    Buffer += Each;
    while (!Result.m_Fault && (Body ? ReadBody() : ReadHead())) {
    }
    if (Result.m_Fault)
      break;
  }
  return Result;
}

} // namespace hyssopcross::http::test

#endif
