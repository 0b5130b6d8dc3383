#ifndef HYSSOPCROSS_HTTP_SRC_FRAMING_H
#define HYSSOPCROSS_HTTP_SRC_FRAMING_H

#include "hyssopcross/http/Listener.h"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hyssopcross::http {

/// How the body of a request is delimited.
struct Framing {
  bool m_IsChunked = false;
  /// Length that the head states; zero without a body.
  uint64_t m_Length = 0;
  bool m_ExpectsContinue = false;
};

struct HeadCheck {
  /// None if the head is accepted.
  std::optional<InputFault> m_Fault;
  Framing m_Framing;
};

/// Scan for the end of a head that arrives in parts.
struct HeadScan {
  /// Start of the line that has not ended yet.
  size_t m_LineStart = 0;
  /// Bytes that have been searched for the end of that line.
  size_t m_Searched = 0;
  uint32_t m_Lines = 0;
};

/// Bytes of the head including its empty line; zero while it has not ended.
/// Fails on a line that does not end with CRLF.
struct HeadEnd {
  std::optional<InputFault> m_Fault;
  size_t m_Bytes = 0;
};
HeadEnd findHeadEnd(HeadScan &Scan, std::string_view Input);

/// Checks a whole request head as RFC 9112 demands it, beyond what the parser
/// of the library checks: line ends, characters, and a framing that every
/// reader understands in the same way.
HeadCheck checkRequestHead(std::string_view Head);

/// State of the reading of a chunked body.
struct ChunkReader {
  enum class State : uint8_t {
    SizeStart,
    Size,
    Extension,
    SizeLf,
    Data,
    DataCr,
    DataLf,
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLf,
    EndLf,
    Done,
  };
  State m_State = State::SizeStart;
  /// Size of the chunk while its size is being read, then what is left of it.
  uint64_t m_Left = 0;
  uint32_t m_Digits = 0;
  bool m_HasSemicolon = false;
  /// Bytes of extensions and trailers so far.
  uint64_t m_ExtraBytes = 0;
};

struct ChunkLimits {
  uint64_t m_BodyBytes = 0;
  /// Bytes of extensions and trailers together.
  uint64_t m_ExtraBytes = 0;
};

struct ChunkStep {
  std::optional<InputFault> m_Fault;
  size_t m_Used = 0;
};

/// Reads a part of a chunked body and appends its data to Body. Trailers are
/// checked and dropped, so that none of them passes for a header.
ChunkStep readChunks(ChunkReader &Reader, std::string_view Input,
                     std::string &Body, const ChunkLimits &Limits);

} // namespace hyssopcross::http

#endif
