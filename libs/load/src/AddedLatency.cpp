#include "hyssopcross/load/AddedLatency.h"
#include "hyssopcross/protocol/Headers.h"
#include "hyssopcross/standins/BackendServer.h"
#include <boost/outcome/try.hpp>

namespace hyssopcross::load {

namespace {

constexpr int Ok = 200;
constexpr uint32_t WarmUpPairs = 50;

Result<Duration> timeCall(const std::string &Url, uint32_t Number,
                          httpclient::Client &Client, const Clock &Clock) {
  httpclient::Request Request;
  Request.m_Url = Url + "?number=" + std::to_string(Number);
  Request.m_Headers = {
      {protocol::CorrelationHeader, "measure-" + std::to_string(Number)}};
  TimePoint Start = Clock.now();
  BOOST_OUTCOME_TRY(Answer, Client.send(Request));
  Duration Time = Clock.now() - Start;
  if (Answer.m_Status != Ok)
    return fail(ErrorCode::Unavailable, Url + " answered with status " +
                                            std::to_string(Answer.m_Status) +
                                            ": " + Answer.m_Body);
  return Time;
}

} // namespace

Duration AddedLatency::addedP99() const {
  return m_ThroughEntry.percentile(0.99).value_or(Duration()) -
         m_Direct.percentile(0.99).value_or(Duration());
}

Result<AddedLatency> measureAddedLatency(const AddedLatencyOptions &Options,
                                         AddressBook &Addresses,
                                         const Clock &Clock) {
  // One handle, so that each way keeps its one connection.
  httpclient::Client Client(1);
  std::string Path(standins::MeasurePath);
  std::string CallPath = "/call/" + Options.m_Service + Path;
  std::string Direct = "http://" + Options.m_Direct.toString() + Path;
  AddedLatency Measured;
  for (uint32_t I = 0; I < WarmUpPairs + Options.m_Pairs; ++I) {
    BOOST_OUTCOME_TRY(
        Entry, Addresses.choose(Options.m_Service, Options.m_DataCentre, ""));
    std::string ThroughEntry = "http://" + Entry;
    ThroughEntry += CallPath;
    BOOST_OUTCOME_TRY(DirectTime, timeCall(Direct, I, Client, Clock));
    BOOST_OUTCOME_TRY(EntryTime, timeCall(ThroughEntry, I, Client, Clock));
    if (I < WarmUpPairs)
      continue;
    Measured.m_Direct.add(DirectTime);
    Measured.m_ThroughEntry.add(EntryTime);
  }
  return Measured;
}

} // namespace hyssopcross::load
