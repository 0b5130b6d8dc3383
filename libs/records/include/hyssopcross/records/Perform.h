#ifndef HYSSOPCROSS_RECORDS_PERFORM_H
#define HYSSOPCROSS_RECORDS_PERFORM_H

#include "hyssopcross/records/Store.h"
#include "hyssopcross/store/Ports.h"

namespace hyssopcross::records {

/// Carries out a request on a port and returns the event that answers it.
/// Blocks for as long as the port does; safe from any thread if the port is.
RowRead perform(store::Table &Table, const ReadRow &Request);
RowsScanned perform(store::Table &Table, const ScanRows &Request);
CommitEnded perform(store::Table &Table, const CommitRows &Request);
ObjectEnded perform(store::ObjectStore &Store, const PutObject &Request);
ObjectEnded perform(store::ObjectStore &Store, const GetObject &Request);

/// Removes the object; a failure is ignored.
void perform(store::ObjectStore &Store, const RemoveObject &Request);

} // namespace hyssopcross::records

#endif
