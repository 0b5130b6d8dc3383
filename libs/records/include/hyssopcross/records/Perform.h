#ifndef HYSSOPCROSS_RECORDS_PERFORM_H
#define HYSSOPCROSS_RECORDS_PERFORM_H

#include "hyssopcross/platform/Ports.h"
#include "hyssopcross/records/Store.h"

namespace hyssopcross::records {

/// Carries out a request on a port and returns the event that answers it.
/// Blocks for as long as the port does; safe from any thread if the port is.
RowRead perform(platform::Table &Table, const ReadRow &Request);
RowsScanned perform(platform::Table &Table, const ScanRows &Request);
CommitEnded perform(platform::Table &Table, const CommitRows &Request);
ObjectEnded perform(platform::ObjectStore &Store, const PutObject &Request);
ObjectEnded perform(platform::ObjectStore &Store, const GetObject &Request);

/// Removes the object; a failure is ignored.
void perform(platform::ObjectStore &Store, const RemoveObject &Request);

} // namespace hyssopcross::records

#endif
