#ifndef HYSSOPCROSS_LOAD_ADDEDLATENCY_H
#define HYSSOPCROSS_LOAD_ADDEDLATENCY_H

#include "hyssopcross/load/AddressBook.h"
#include "hyssopcross/statistics/Sample.h"

namespace hyssopcross::load {

/// What to measure the path through an entry VM against.
struct AddedLatencyOptions {
  /// The only backend server of the service in the data centre.
  Address m_Direct;
  std::string m_Service;
  std::string m_DataCentre;
  /// Pairs of calls that count, after some that do not.
  uint32_t m_Pairs = 1000;
};

/// Times of the same calls by both ways.
struct AddedLatency {
  statistics::Sample m_Direct;
  statistics::Sample m_ThroughEntry;

  /// The difference of the two 99th percentiles.
  Duration addedP99() const;
};

/// Makes calls without service time one after the other, by turns straight to
/// the backend server and through the address that an entry VM names, on kept
/// connections. Fails if any of them does not end with status 200.
Result<AddedLatency> measureAddedLatency(const AddedLatencyOptions &Options,
                                         AddressBook &Addresses,
                                         const Clock &Clock);

} // namespace hyssopcross::load

#endif
