#ifndef HYSSOPCROSS_STORE_HTTPSTORE_H
#define HYSSOPCROSS_STORE_HTTPSTORE_H

#include "hyssopcross/base/Clock.h"
#include "hyssopcross/base/Settings.h"
#include "hyssopcross/store/Ports.h"
#include <memory>

namespace hyssopcross::store {

/// The platform's table over HTTP, as docs/PLATFORM.md lays it out. Nothing is
/// sent until the first call; connections are kept. Each call blocks for at
/// most Timeout, and any number of threads may call at once.
std::unique_ptr<Table> connectTable(const Address &Platform, Duration Timeout);

/// The platform's object store over HTTP; otherwise as connectTable().
std::unique_ptr<ObjectStore> connectObjectStore(const Address &Platform,
                                                Duration Timeout);

/// The platform's list of VMs over HTTP; otherwise as connectTable().
std::unique_ptr<VmList> connectVmList(const Address &Platform,
                                      Duration Timeout);

} // namespace hyssopcross::store

#endif
