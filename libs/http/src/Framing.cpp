#include "Framing.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace hyssopcross::http {

namespace {

/// Most digits of a chunk size; further ones could only overflow or be zeros.
constexpr uint32_t MaxSizeDigits = 16;

enum CharacterClass : uint8_t { IsToken = 1, IsFieldValue = 2 };

constexpr std::array<uint8_t, 256> classifyCharacters() {
  std::array<uint8_t, 256> Classes{};
  for (unsigned I = 0; I < 256; ++I)
    if (I == '\t' || (I >= 0x20 && I != 0x7f))
      Classes[I] |= IsFieldValue;
  for (unsigned I = 0; I < 256; ++I)
    if ((I >= '0' && I <= '9') || (I >= 'a' && I <= 'z') ||
        (I >= 'A' && I <= 'Z'))
      Classes[I] |= IsToken;
  for (char Each : std::string_view("!#$%&'*+-.^_`|~"))
    Classes[static_cast<unsigned char>(Each)] |= IsToken;
  return Classes;
}

constexpr std::array<uint8_t, 256> CharacterClasses = classifyCharacters();

bool isOf(char Character, CharacterClass Class) {
  return (CharacterClasses[static_cast<unsigned char>(Character)] & Class) != 0;
}

bool areAllOf(std::string_view Text, CharacterClass Class) {
  uint8_t Common = Class;
  for (char Each : Text)
    Common &= CharacterClasses[static_cast<unsigned char>(Each)];
  return Common != 0;
}

char toLower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

/// Lower is in lower case.
bool equalsIgnoringCase(std::string_view Text, std::string_view Lower) {
  return Text.size() == Lower.size() &&
         std::equal(Text.begin(), Text.end(), Lower.begin(),
                    [](char A, char B) { return toLower(A) == B; });
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

/// Fields of a head that decide how it is read.
struct FramingFields {
  std::optional<uint64_t> m_Length;
  bool m_HasCoding = false;
  std::optional<std::string_view> m_Host;
  bool m_ExpectsContinue = false;
};

std::optional<InputFault> noteLength(FramingFields &Known,
                                     std::string_view Value) {
  // Repeated lengths are refused even if they agree.
  if (Known.m_Length)
    return InputFault::ContentLength;
  uint64_t Length = 0;
  auto [End, Failure] =
      std::from_chars(Value.data(), Value.data() + Value.size(), Length);
  if (Value.empty() || Failure != std::errc() ||
      End != Value.data() + Value.size())
    return InputFault::ContentLength;
  Known.m_Length = Length;
  return std::nullopt;
}

std::optional<InputFault> noteCoding(FramingFields &Known,
                                     std::string_view Value) {
  if (Known.m_HasCoding)
    return InputFault::TransferCoding;
  Known.m_HasCoding = true;
  if (equalsIgnoringCase(Value, "chunked"))
    return std::nullopt;
  return InputFault::TransferCoding;
}

std::optional<InputFault> noteField(FramingFields &Known, std::string_view Name,
                                    std::string_view Value) {
  // Most names are of another length than those that matter.
  switch (Name.size()) {
  case 4:
    if (!equalsIgnoringCase(Name, "host"))
      return std::nullopt;
    if (Known.m_Host)
      return InputFault::Host;
    Known.m_Host = Value;
    return std::nullopt;
  case 6:
    if (equalsIgnoringCase(Name, "expect"))
      Known.m_ExpectsContinue = equalsIgnoringCase(Value, "100-continue");
    return std::nullopt;
  case 14:
    return equalsIgnoringCase(Name, "content-length") ? noteLength(Known, Value)
                                                      : std::nullopt;
  case 17:
    return equalsIgnoringCase(Name, "transfer-encoding")
               ? noteCoding(Known, Value)
               : std::nullopt;
  default:
    return std::nullopt;
  }
}

/// The host and port of a target in absolute form; none for other forms.
std::optional<std::string_view> authorityOf(std::string_view Target) {
  size_t Scheme = Target.find("://");
  if (Target.empty() || Target.front() == '/' ||
      Scheme == std::string_view::npos)
    return std::nullopt;
  Target.remove_prefix(Scheme + 3);
  return Target.substr(0, Target.find_first_of("/?#"));
}

bool sameHost(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(),
                    [](char X, char Y) { return toLower(X) == toLower(Y); });
}

/// Takes the next line, without its end, off a head of whole lines.
std::string_view takeLine(std::string_view &Head) {
  size_t End = Head.find("\r\n");
  std::string_view Line = Head.substr(0, End);
  Head.remove_prefix(End + 2);
  return Line;
}

} // namespace

HeadEnd findHeadEnd(HeadScan &Scan, std::string_view Input) {
  while (true) {
    const void *Found = std::memchr(Input.data() + Scan.m_Searched, '\n',
                                    Input.size() - Scan.m_Searched);
    if (!Found) {
      Scan.m_Searched = Input.size();
      return {};
    }
    size_t At = static_cast<const char *>(Found) - Input.data();
    if (At == Scan.m_LineStart || Input[At - 1] != '\r')
      return {InputFault::Head, 0};
    bool IsEmpty = At == Scan.m_LineStart + 1;
    Scan.m_LineStart = Scan.m_Searched = At + 1;
    if (IsEmpty)
      return {std::nullopt, At + 1};
    ++Scan.m_Lines;
  }
}

HeadCheck checkRequestHead(std::string_view Head) {
  std::string_view RequestLine = takeLine(Head);
  size_t MethodEnd = RequestLine.find(' ');
  size_t TargetEnd = RequestLine.rfind(' ');
  if (!areAllOf(RequestLine, IsFieldValue) ||
      MethodEnd == std::string_view::npos || TargetEnd <= MethodEnd + 1)
    return {InputFault::Head, {}};
  std::string_view Method = RequestLine.substr(0, MethodEnd);
  std::string_view Target =
      RequestLine.substr(MethodEnd + 1, TargetEnd - MethodEnd - 1);
  bool IsVersion11 = RequestLine.substr(TargetEnd + 1) == "HTTP/1.1";
  FramingFields Known;
  for (std::string_view Line = takeLine(Head); !Line.empty();
       Line = takeLine(Head)) {
    size_t Colon = Line.find(':');
    if (Colon == std::string_view::npos || Colon == 0)
      return {InputFault::Head, {}};
    std::string_view Name = Line.substr(0, Colon);
    std::string_view Value = Line.substr(Colon + 1);
    // A name of token characters only excludes folded lines and a space before
    // the colon.
    if (!areAllOf(Name, IsToken) || !areAllOf(Value, IsFieldValue))
      return {InputFault::Head, {}};
    if (auto Fault = noteField(Known, Name, trimmed(Value)))
      return {Fault, {}};
  }
  // RFC 9112, section 6.1: both lengths together, and a coding in a request of
  // an older version, are read differently by different servers.
  if (Known.m_HasCoding && (Known.m_Length || !IsVersion11))
    return {InputFault::TransferCoding, {}};
  auto Authority = authorityOf(Target);
  if (Authority && Known.m_Host && !sameHost(*Authority, *Known.m_Host))
    return {InputFault::Host, {}};
  Framing Found{Known.m_HasCoding, Known.m_Length.value_or(0),
                Known.m_ExpectsContinue && IsVersion11};
  // RFC 9110, section 9.3.8: a TRACE request has no content.
  if (Method == "TRACE" && (Found.m_IsChunked || Found.m_Length > 0))
    return {InputFault::TraceBody, {}};
  return {std::nullopt, Found};
}

namespace {

using ChunkState = ChunkReader::State;

std::optional<InputFault> noteSizeDigit(ChunkReader &Reader, char Character,
                                        uint64_t Room) {
  unsigned Digit = 0;
  std::from_chars(&Character, &Character + 1, Digit, 16);
  if (++Reader.m_Digits > MaxSizeDigits)
    return InputFault::Chunk;
  Reader.m_Left = Reader.m_Left << 4 | Digit;
  if (Reader.m_Left > Room)
    return InputFault::BodyBytes;
  return std::nullopt;
}

bool isHexDigit(char Character) {
  char Lower = toLower(Character);
  return (Lower >= '0' && Lower <= '9') || (Lower >= 'a' && Lower <= 'f');
}

/// Handles one byte outside of the data of chunks. Room is what the body may
/// still grow.
std::optional<InputFault> stepChunk(ChunkReader &Reader, char Character,
                                    uint64_t Room) {
  ChunkState &Now = Reader.m_State;
  auto Expect = [&](char Wanted, ChunkState Next) -> std::optional<InputFault> {
    Now = Next;
    if (Character != Wanted)
      return InputFault::Chunk;
    return std::nullopt;
  };
  switch (Now) {
  case ChunkState::SizeStart:
    Reader.m_Left = 0;
    Reader.m_Digits = 0;
    Reader.m_HasSemicolon = false;
    Now = ChunkState::Size;
    if (!isHexDigit(Character))
      return InputFault::Chunk;
    return noteSizeDigit(Reader, Character, Room);
  case ChunkState::Size:
    if (isHexDigit(Character))
      return noteSizeDigit(Reader, Character, Room);
    if (Character == '\r') {
      Now = ChunkState::SizeLf;
      return std::nullopt;
    }
    Now = ChunkState::Extension;
    [[fallthrough]];
  case ChunkState::Extension:
    // RFC 9112, section 7.1: white space after the size belongs to an
    // extension, so one has to follow.
    if (Character == '\r' && Reader.m_HasSemicolon) {
      Now = ChunkState::SizeLf;
      return std::nullopt;
    }
    ++Reader.m_ExtraBytes;
    Reader.m_HasSemicolon = Reader.m_HasSemicolon || Character == ';';
    // White space before the semicolon is allowed, other characters are not.
    if (!isOf(Character, IsFieldValue) ||
        (!Reader.m_HasSemicolon && Character != ' ' && Character != '\t'))
      return InputFault::Chunk;
    return std::nullopt;
  case ChunkState::SizeLf:
    return Expect('\n', Reader.m_Left == 0 ? ChunkState::TrailerStart
                                           : ChunkState::Data);
  case ChunkState::DataCr:
    return Expect('\r', ChunkState::DataLf);
  case ChunkState::DataLf:
    return Expect('\n', ChunkState::SizeStart);
  case ChunkState::TrailerStart:
    if (Character == '\r') {
      Now = ChunkState::EndLf;
      return std::nullopt;
    }
    Now = ChunkState::TrailerName;
    ++Reader.m_ExtraBytes;
    if (!isOf(Character, IsToken))
      return InputFault::Trailer;
    return std::nullopt;
  case ChunkState::TrailerName:
    ++Reader.m_ExtraBytes;
    if (Character == ':')
      Now = ChunkState::TrailerValue;
    else if (!isOf(Character, IsToken))
      return InputFault::Trailer;
    return std::nullopt;
  case ChunkState::TrailerValue:
    ++Reader.m_ExtraBytes;
    if (Character == '\r')
      Now = ChunkState::TrailerLf;
    else if (!isOf(Character, IsFieldValue))
      return InputFault::Trailer;
    return std::nullopt;
  case ChunkState::TrailerLf:
    return Expect('\n', ChunkState::TrailerStart);
  case ChunkState::EndLf:
    return Expect('\n', ChunkState::Done);
  case ChunkState::Data:
  case ChunkState::Done:
    break;
  }
  return std::nullopt;
}

} // namespace

ChunkStep readChunks(ChunkReader &Reader, std::string_view Input,
                     std::string &Body, const ChunkLimits &Limits) {
  size_t Used = 0;
  while (Used < Input.size() && Reader.m_State != ChunkState::Done) {
    if (Reader.m_State == ChunkState::Data) {
      auto Taken = static_cast<size_t>(
          std::min<uint64_t>(Reader.m_Left, Input.size() - Used));
      Body.append(Input, Used, Taken);
      Used += Taken;
      Reader.m_Left -= Taken;
      if (Reader.m_Left == 0)
        Reader.m_State = ChunkState::DataCr;
      continue;
    }
    uint64_t Room = Limits.m_BodyBytes - Body.size();
    if (auto Fault = stepChunk(Reader, Input[Used++], Room))
      return {Fault, Used};
    if (Reader.m_ExtraBytes > Limits.m_ExtraBytes)
      return {InputFault::ExtraBytes, Used};
  }
  return {std::nullopt, Used};
}

} // namespace hyssopcross::http
