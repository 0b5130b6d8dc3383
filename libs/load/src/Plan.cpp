#include "hyssopcross/load/Plan.h"
#include <algorithm>
#include <charconv>
#include <set>

namespace hyssopcross::load {

using catalogue::ServiceClass;

namespace {

constexpr uint64_t MaxNumber = 100000;
constexpr double MaxCallsPerSecond = 1e6;

std::string quote(std::string_view Text) {
  return "\"" + std::string(Text) + "\"";
}

Result<ServiceClass> parseClass(std::string_view Name) {
  if (Name == "lookup")
    return ServiceClass::Lookup;
  if (Name == "money")
    return ServiceClass::Money;
  if (Name == "upload")
    return ServiceClass::Upload;
  return fail(ErrorCode::InvalidInput,
              "class " + quote(Name) + " is none of lookup, money, upload");
}

Result<double> parseRate(std::string_view Text) {
  double Rate = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Rate);
  bool Whole = Failure == std::errc() && End == Text.data() + Text.size();
  if (!Whole || !(Rate > 0) || Rate > MaxCallsPerSecond)
    return fail(ErrorCode::InvalidInput,
                "rate " + quote(Text) + " is not a number above zero");
  return Rate;
}

Result<ServiceLoad> parseService(std::string_view Text) {
  std::vector<std::string_view> Parts = splitList(Text, ':');
  if (Parts.size() != 3)
    return fail(ErrorCode::InvalidInput,
                "service " + quote(Text) + " is not name:class:rate");
  auto Class = parseClass(Parts[1]);
  if (!Class)
    return Class.as_failure();
  auto Rate = parseRate(Parts[2]);
  if (!Rate)
    return Rate.as_failure();
  return ServiceLoad{std::string(Parts[0]), Class.value(), Rate.value()};
}

void drawService(const PlanOptions &Options, const ServiceLoad &Service,
                 std::mt19937_64 &Random, std::vector<PlannedCall> &Calls) {
  std::exponential_distribution<double> Gap(Service.m_CallsPerSecond);
  std::uniform_int_distribution<size_t> DataCentre(
      0, Options.m_DataCentres.size() - 1);
  std::uniform_int_distribution<uint64_t> Number(1, MaxNumber);
  std::uniform_int_distribution<uint64_t> BodyBytes(1, Options.m_UploadBytes);
  double Length = std::chrono::duration<double>(Options.m_Length).count();
  double Due = Gap(Random);
  while (Due < Length) {
    PlannedCall Call;
    Call.m_Due = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Due));
    Call.m_Service = Service;
    Call.m_DataCentre = Options.m_DataCentres[DataCentre(Random)];
    Call.m_Number = Number(Random);
    Call.m_BodyBytes = BodyBytes(Random);
    Calls.push_back(std::move(Call));
    Due += Gap(Random);
  }
}

} // namespace

Result<std::vector<ServiceLoad>> parseServices(std::string_view Text) {
  std::vector<ServiceLoad> Services;
  std::set<std::string> Names;
  for (std::string_view Part : splitList(Text, ',')) {
    auto Service = parseService(Part);
    if (!Service)
      return Service.as_failure();
    if (!Names.insert(Service.value().m_Name).second)
      return fail(ErrorCode::InvalidInput, "service " +
                                               quote(Service.value().m_Name) +
                                               " is named twice");
    Services.push_back(std::move(Service.value()));
  }
  if (Services.empty())
    return fail(ErrorCode::InvalidInput, "no service is named");
  return Services;
}

Result<std::vector<std::string>> parseNames(std::string_view Text,
                                            std::string_view What) {
  std::vector<std::string> Names;
  for (std::string_view Name : splitList(Text, ','))
    Names.emplace_back(Name);
  if (Names.empty())
    return fail(ErrorCode::InvalidInput, std::string(What) + " is empty");
  return Names;
}

Result<std::vector<Address>> parseAddresses(std::string_view Text,
                                            std::string_view What) {
  std::vector<Address> Addresses;
  for (std::string_view Part : splitList(Text, ',')) {
    auto Parsed = parseAddress(Part);
    if (!Parsed)
      return fail(ErrorCode::InvalidInput,
                  std::string(What) + ": " + Parsed.error().m_Message);
    Addresses.push_back(std::move(Parsed.value()));
  }
  return Addresses;
}

std::vector<PlannedCall> drawPlan(const PlanOptions &Options) {
  std::mt19937_64 Random(Options.m_Seed);
  std::vector<PlannedCall> Calls;
  for (const ServiceLoad &Service : Options.m_Services)
    drawService(Options, Service, Random, Calls);
  std::stable_sort(Calls.begin(), Calls.end(),
                   [](const PlannedCall &Left, const PlannedCall &Right) {
                     return Left.m_Due < Right.m_Due;
                   });
  for (size_t I = 0; I < Calls.size(); ++I)
    Calls[I].m_Index = I;
  return Calls;
}

} // namespace hyssopcross::load
