#include "FramingReader.h"
#include <cctype>
#include <cstdio>
#include <doctest/doctest.h>
#include <random>

using namespace hyssopcross::http;
using namespace hyssopcross::http::test;

namespace {

constexpr std::string_view TokenCharacters =
    "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
    "ABCDEFGHIJKLMNOPQRSTUVWXYZ";

std::string lower(std::string_view Text) {
  std::string Result;
  for (char Each : Text)
    Result += Each >= 'A' && Each <= 'Z' ? static_cast<char>(Each + 32) : Each;
  return Result;
}

bool isToken(std::string_view Text) {
  return !Text.empty() &&
         Text.find_first_not_of(TokenCharacters) == std::string_view::npos;
}

bool isFieldValue(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](unsigned char Each) {
    return Each == '\t' || (Each >= 0x20 && Each != 0x7f);
  });
}

// A strict reader of whole streams, which shares no code with the library. It
// gives none for what is malformed, ambiguous or unfinished. It allows any
// field characters in chunk extensions, any visible ones in targets, and a
// missing Host: these do not change where a request ends or to which host it
// goes.

/// The next line, which ends with CRLF and contains no other CR or LF.
std::optional<std::string_view> strictLine(std::string_view &Rest) {
  size_t End = Rest.find_first_of("\r\n");
  if (End == std::string_view::npos || Rest.substr(End, 2) != "\r\n")
    return std::nullopt;
  std::string_view Line = Rest.substr(0, End);
  Rest.remove_prefix(End + 2);
  return Line;
}

using StrictField = std::pair<std::string, std::string>;

/// The fields up to the empty line, with their names in lower case.
std::optional<std::vector<StrictField>> strictFields(std::string_view &Rest) {
  std::vector<StrictField> Fields;
  while (true) {
    auto Line = strictLine(Rest);
    if (!Line)
      return std::nullopt;
    if (Line->empty())
      return Fields;
    size_t Colon = Line->find(':');
    if (Colon == std::string_view::npos || !isToken(Line->substr(0, Colon)) ||
        !isFieldValue(Line->substr(Colon + 1)))
      return std::nullopt;
    std::string Value(Line->substr(Colon + 1));
    Value.erase(0, Value.find_first_not_of(" \t"));
    Value.erase(Value.find_last_not_of(" \t") + 1);
    Fields.emplace_back(lower(Line->substr(0, Colon)), Value);
  }
}

std::optional<uint64_t> strictNumber(std::string_view Text, unsigned Base) {
  std::string_view Digits = "0123456789abcdef";
  uint64_t Value = 0;
  for (char Each : lower(Text)) {
    size_t Digit = Digits.substr(0, Base).find(Each);
    if (Digit == std::string_view::npos || Value > (UINT64_MAX - Digit) / Base)
      return std::nullopt;
    Value = Value * Base + Digit;
  }
  return Text.empty() ? std::nullopt : std::optional(Value);
}

std::optional<std::string> strictData(std::string_view &Rest, uint64_t Size) {
  if (Size > Rest.size())
    return std::nullopt;
  std::string Data(Rest.substr(0, Size));
  Rest.remove_prefix(Size);
  return Data;
}

std::optional<std::string> strictChunks(std::string_view &Rest) {
  std::string Body;
  while (true) {
    auto Line = strictLine(Rest);
    if (!Line || !isFieldValue(*Line))
      return std::nullopt;
    std::string_view Size = Line->substr(0, Line->find(';'));
    if (Size.size() < Line->size())
      while (!Size.empty() && (Size.back() == ' ' || Size.back() == '\t'))
        Size.remove_suffix(1);
    auto Bytes = strictNumber(Size, 16);
    if (!Bytes)
      return std::nullopt;
    if (*Bytes == 0)
      break;
    auto Data = strictData(Rest, *Bytes);
    auto End = Data ? strictLine(Rest) : std::nullopt;
    if (!End || !End->empty())
      return std::nullopt;
    Body += *Data;
  }
  return strictFields(Rest) ? std::optional(Body) : std::nullopt;
}

std::optional<ReadRequest> strictRequest(std::string_view &Rest) {
  auto Line = strictLine(Rest);
  auto Fields = Line ? strictFields(Rest) : std::nullopt;
  if (!Fields)
    return std::nullopt;
  size_t First = Line->find(' ');
  size_t Second = Line->find(' ', First + 1);
  if (First == std::string_view::npos || Second == std::string_view::npos)
    return std::nullopt;
  ReadRequest Found;
  Found.m_Method = Line->substr(0, First);
  Found.m_Target = Line->substr(First + 1, Second - First - 1);
  std::string_view Version = Line->substr(Second + 1);
  if (!isToken(Found.m_Method) || Found.m_Target.empty() ||
      !isFieldValue(Found.m_Target) ||
      Found.m_Target.find('\t') != std::string::npos ||
      (Version != "HTTP/1.1" && Version != "HTTP/1.0"))
    return std::nullopt;
  auto Values = [&](std::string_view Name) {
    std::vector<std::string> Result;
    for (const StrictField &Each : *Fields)
      if (Each.first == Name)
        Result.push_back(Each.second);
    return Result;
  };
  auto Lengths = Values("content-length");
  auto Codings = Values("transfer-encoding");
  auto Hosts = Values("host");
  if (Lengths.size() + Codings.size() > 1 || Hosts.size() > 1)
    return std::nullopt;
  size_t Scheme = Found.m_Target.find("://");
  if (Found.m_Target[0] != '/' && Scheme != std::string::npos &&
      !Hosts.empty()) {
    std::string Named = Found.m_Target.substr(Scheme + 3);
    if (lower(Named.substr(0, Named.find_first_of("/?#"))) != lower(Hosts[0]))
      return std::nullopt;
  }
  std::optional<std::string> Body = std::string();
  if (!Codings.empty()) {
    if (lower(Codings[0]) != "chunked" || Version != "HTTP/1.1" ||
        Found.m_Method == "TRACE")
      return std::nullopt;
    Body = strictChunks(Rest);
  } else if (!Lengths.empty()) {
    auto Length = strictNumber(Lengths[0], 10);
    if (!Length || (*Length > 0 && Found.m_Method == "TRACE"))
      return std::nullopt;
    Body = strictData(Rest, *Length);
  }
  if (!Body)
    return std::nullopt;
  Found.m_Body = *Body;
  return Found;
}

std::vector<ReadRequest> strictRead(std::string_view Stream) {
  std::vector<ReadRequest> Requests;
  std::string_view Rest = Stream;
  while (auto Found = strictRequest(Rest)) {
    Found->m_End = Stream.size() - Rest.size();
    Requests.push_back(*Found);
  }
  return Requests;
}

/// Random choices that are the same with every standard library.
struct Chooser {
  std::mt19937_64 m_Engine;

  size_t below(size_t Bound) { return m_Engine() % Bound; }
  bool oneIn(size_t Count) { return below(Count) == 0; }
  template <typename List> auto of(const List &Choices) {
    return Choices[below(std::size(Choices))];
  }
};

std::string anyCase(Chooser &Random, std::string Name) {
  if (Random.oneIn(2))
    for (char &Each : Name)
      if (isalpha(static_cast<unsigned char>(Each)) && Random.oneIn(2))
        Each = static_cast<char>(Each ^ 0x20);
  return Name;
}

// Each choice is a statement of its own, since the order of operands is up to
// the compiler and a seed has to give the same stream everywhere.

std::string fieldLine(Chooser &Random, const std::string &Name,
                      const std::string &Value) {
  static const std::string Spaces[] = {"", " ", " ", "\t", "  \t"};
  std::string Line = anyCase(Random, Name) + ":";
  Line += Random.of(Spaces) + Value;
  if (Random.oneIn(4))
    Line += Random.of(Spaces);
  return Line + "\r\n";
}

std::string otherFields(Chooser &Random) {
  static const std::string Names[] = {"A",       "X-Trace",      "Accept",
                                      "Lengths", "Content-Type", "Keep"};
  static const std::string Values[] = {
      "", "b", "Content-Length: 3", "chunked", "a, b;c=\"d e\"", "\xc3\xa9"};
  std::string Lines;
  for (size_t I = Random.below(3); I > 0; --I) {
    std::string Name = Random.of(Names);
    Lines += fieldLine(Random, Name, Random.of(Values));
  }
  return Lines;
}

std::string anyBody(Chooser &Random) {
  static const std::string Parts[] = {"x",
                                      "\r\n",
                                      "0\r\n\r\n",
                                      "GET /in HTTP/1.1\r\nHost: h\r\n\r\n",
                                      "3\r\nabc\r\n",
                                      "plain text"};
  std::string Body;
  for (size_t I = Random.below(6); I > 0; --I) {
    Body += Random.of(Parts);
    Body += static_cast<char>(Random.below(256));
  }
  return Body;
}

std::string chunkLine(Chooser &Random, size_t Size) {
  static const char *const Formats[] = {"%zx", "%zX", "%04zx"};
  static const std::string Extensions[] = {"", "", ";a", ";a=b", " ;a=\"b;c\""};
  char Digits[32];
  std::snprintf(Digits, sizeof(Digits), Random.of(Formats), Size);
  return Digits + Random.of(Extensions) + "\r\n";
}

std::string inChunks(Chooser &Random, std::string_view Body) {
  std::string Bytes;
  while (!Body.empty()) {
    size_t Size = 1 + Random.below(Body.size());
    Bytes += chunkLine(Random, Size);
    Bytes += Body.substr(0, Size);
    Bytes += "\r\n";
    Body.remove_prefix(Size);
  }
  Bytes += chunkLine(Random, 0);
  if (Random.oneIn(3))
    Bytes += otherFields(Random);
  return Bytes + "\r\n";
}

/// Appends a well-formed request to the stream, and what it says to Expected.
void addRequest(Chooser &Random, std::string &Stream,
                std::vector<ReadRequest> &Expected) {
  static const std::string Methods[] = {"GET", "POST", "PUT", "HEAD", "DELETE"};
  static const std::string Targets[] = {"/", "/a/b?c=d", "/?u=http://x/",
                                        "http://h:80/a", "http://H:80"};
  ReadRequest Made{Random.of(Methods), Random.of(Targets), "", 0};
  size_t Kind = Random.below(3);
  if (Kind > 0)
    Made.m_Body = anyBody(Random);
  std::string Delimiter;
  if (Kind == 1)
    Delimiter =
        fieldLine(Random, "Content-Length", std::to_string(Made.m_Body.size()));
  if (Kind == 2)
    Delimiter =
        fieldLine(Random, "Transfer-Encoding", anyCase(Random, "chunked"));
  Stream += Made.m_Method + " " + Made.m_Target + " HTTP/1.1\r\n";
  Stream += otherFields(Random);
  Stream += fieldLine(Random, "Host", "h:80") + Delimiter;
  Stream += otherFields(Random) + "\r\n";
  Stream += Kind == 2 ? inChunks(Random, Made.m_Body) : Made.m_Body;
  Made.m_End = Stream.size();
  Expected.push_back(Made);
}

void mutate(Chooser &Random, std::string &Stream) {
  static const std::string Pieces[] = {"\r",
                                       "\n",
                                       "\r\n",
                                       "\r\n ",
                                       " ",
                                       "\t",
                                       ":",
                                       ";",
                                       ",",
                                       "+",
                                       "-",
                                       "0",
                                       "1",
                                       "f",
                                       std::string(1, '\0'),
                                       "\x7f",
                                       "\xff",
                                       "0\r\n\r\n",
                                       "ffffffffffffffff",
                                       "10000000000000000",
                                       ", chunked",
                                       "http://x/",
                                       "\r\nContent-Length: 5",
                                       "\r\nContent-Length: 0",
                                       "\r\nTransfer-Encoding: chunked",
                                       "\r\nTransfer-Encoding: gzip",
                                       "\r\nHost: x",
                                       "TRACE "};
  size_t At = Random.below(Stream.size());
  // Half of the changes are made next to a line end or a separator.
  if (Random.oneIn(2))
    At = std::min(Stream.find_first_of("\r\n:; ", At), Stream.size() - 1);
  size_t Length = std::min<size_t>(1 + Random.below(4), Stream.size() - At);
  switch (Random.below(5)) {
  case 0:
    Stream[At] = static_cast<char>(Random.below(256));
    break;
  case 1:
    Stream.erase(At, Random.oneIn(2) ? 1 : Length);
    break;
  case 2:
    Stream.replace(At, Length, Random.of(Pieces));
    break;
  case 3:
    Stream.insert(At, Random.of(Pieces));
    break;
  case 4: {
    // Repeats a line.
    size_t End = Stream.find('\n', At);
    size_t Start = Stream.rfind('\n', At);
    if (End != std::string::npos && Start != std::string::npos && Start < End)
      Stream.insert(End + 1, Stream.substr(Start + 1, End - Start));
    break;
  }
  }
  if (Stream.empty())
    Stream = "\r\n";
}

std::vector<std::string> anySegments(Chooser &Random, std::string_view Stream) {
  std::vector<std::string> Segments;
  size_t Longest = Random.oneIn(4) ? 1 : 1 + Random.below(64);
  while (!Stream.empty()) {
    size_t Bytes = std::min(1 + Random.below(Longest), Stream.size());
    Segments.emplace_back(Stream.substr(0, Bytes));
    Stream.remove_prefix(Bytes);
  }
  return Segments;
}

constexpr uint64_t Cases = 6000;

std::string makeStream(Chooser &Random, std::vector<ReadRequest> &Expected) {
  std::string Stream;
  for (size_t I = 1 + Random.below(3); I > 0; --I)
    addRequest(Random, Stream, Expected);
  return Stream;
}

} // namespace

// Guards against ordinary requests that are refused or cut at the wrong place,
// depending on how they arrive.
TEST_CASE("random well-formed requests are read as they were made") {
  for (uint64_t Seed = 1; Seed <= Cases; ++Seed) {
    Chooser Random{std::mt19937_64(Seed)};
    std::vector<ReadRequest> Expected;
    std::string Stream = makeStream(Random, Expected);
    CAPTURE(Seed);
    CAPTURE(Stream);
    REQUIRE(strictRead(Stream) == Expected);
    StreamReading Read = readSegments(anySegments(Random, Stream));
    REQUIRE_FALSE(Read.m_Fault);
    REQUIRE(Read.m_Requests == Expected);
  }
}

// Guards against requests that the load balancer delimits in another way than
// the server behind it would.
TEST_CASE("mutated requests are read as a strict reader does, or refused") {
  size_t Refusals = 0;
  size_t Requests = 0;
  for (uint64_t Seed = 1; Seed <= Cases; ++Seed) {
    Chooser Random{std::mt19937_64(Seed)};
    std::vector<ReadRequest> Unchanged;
    std::string Stream = makeStream(Random, Unchanged);
    for (size_t I = 1 + Random.below(3); I > 0; --I)
      mutate(Random, Stream);
    CAPTURE(Seed);
    CAPTURE(Stream);
    std::vector<ReadRequest> Strict = strictRead(Stream);
    StreamReading Read = readSegments(anySegments(Random, Stream));
    REQUIRE(Read.m_Requests.size() <= Strict.size());
    REQUIRE(std::equal(Read.m_Requests.begin(), Read.m_Requests.end(),
                       Strict.begin()));
    // Without a refusal, a request that is whole is not left waiting.
    REQUIRE((Read.m_Fault || Read.m_Requests.size() == Strict.size()));
    // The result does not depend on how the bytes arrive.
    StreamReading Whole = readSegments({Stream});
    REQUIRE(Whole.m_Requests == Read.m_Requests);
    REQUIRE(Whole.m_Fault == Read.m_Fault);
    Refusals += Read.m_Fault ? 1 : 0;
    Requests += Read.m_Requests.size();
  }
  MESSAGE("refused streams: " << Refusals << ", accepted requests: " << Requests
                              << ", streams: " << Cases);
  // A run in which nearly all is refused, or accepted, would show nothing.
  CHECK(Refusals > Cases / 10);
  CHECK(Requests > Cases / 10);
}
