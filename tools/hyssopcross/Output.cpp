#include "Output.h"
#include <ctime>

namespace hyssopcross::tool {

namespace {

constexpr long Success = 200;
constexpr long ServerFault = 500;

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace

int report(const Run &On, ExitCode Code, std::string_view Name,
           std::string_view Message) {
  if (On.wantsJson())
    On.out(dump({{"code", Name}, {"message", Message}}));
  else
    On.err("hyssopcross: " + std::string(Message) + "\n");
  return Code;
}

int reportUsage(const Run &On, std::string_view Message) {
  report(On, BadUsage, "usage", Message);
  On.err(Usage);
  return BadUsage;
}

int reportAnswer(const Run &On, const Response &Answer) {
  Json Body = Json::parse(Answer.m_Body, nullptr, false);
  if (!Body.is_object())
    return report(On, Unreachable, "bad-answer",
                  "the entry VM answered " + std::to_string(Answer.m_Status) +
                      " without an explanation; is --entry its operator "
                      "address?");
  if (On.wantsJson())
    On.out(dump(Body));
  else
    On.err("hyssopcross: " + textOf(Body, "message") + " (" +
           textOf(Body, "code") + ")\n");
  bool Reached = Answer.m_Status < ServerFault;
  return Reached ? Refused : Unreachable;
}

std::optional<Json> ask(const Run &On, std::string_view Method,
                        std::string_view Path, const Json &Body, int &Code) {
  std::string Text = Body.is_null() ? std::string() : dump(Body);
  auto Answer = On.m_Around.m_Client->send(Method, Path, Text);
  if (!Answer) {
    Code = report(On, Unreachable, "unreachable",
                  "no entry VM answered: " + Answer.error().m_Message);
    return std::nullopt;
  }
  Json Parsed = Json::parse(Answer.value().m_Body, nullptr, false);
  if (Answer.value().m_Status == Success && Parsed.is_object())
    return Parsed;
  Code = reportAnswer(On, Answer.value());
  return std::nullopt;
}

std::string textOf(const Json &Value, const char *Field) {
  auto Found = Value.find(Field);
  bool IsText = Found != Value.end() && Found->is_string();
  return IsText ? Found->get<std::string>() : std::string();
}

uint64_t numberOf(const Json &Value, const char *Field) {
  auto Found = Value.find(Field);
  bool IsNumber = Found != Value.end() && Found->is_number_unsigned();
  return IsNumber ? Found->get<uint64_t>() : 0;
}

std::string timeOf(const Json &Value, const char *Field) {
  constexpr uint64_t MillisecondsPerSecond = 1000;
  auto Seconds =
      static_cast<std::time_t>(numberOf(Value, Field) / MillisecondsPerSecond);
  std::tm Parts{};
  char Text[32] = "";
  gmtime_r(&Seconds, &Parts);
  std::strftime(Text, sizeof Text, "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text;
}

std::string encodePathPart(std::string_view Text) {
  static constexpr char Digits[] = "0123456789ABCDEF";
  std::string Encoded;
  for (unsigned char C : Text) {
    if (std::isalnum(C) || C == '-' || C == '_' || C == '.') {
      Encoded += static_cast<char>(C);
      continue;
    }
    Encoded += '%';
    Encoded += Digits[C >> 4U];
    Encoded += Digits[C & 0xfU];
  }
  return Encoded;
}

} // namespace hyssopcross::tool
