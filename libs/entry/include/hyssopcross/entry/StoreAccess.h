#ifndef HYSSOPCROSS_ENTRY_STOREACCESS_H
#define HYSSOPCROSS_ENTRY_STOREACCESS_H

#include "hyssopcross/entry/Workers.h"
#include "hyssopcross/records/Store.h"
#include "hyssopcross/store/Ports.h"
#include <functional>

namespace hyssopcross::entry {

/// Carries out requests to the platform on worker threads, because the ports
/// block. Each answer goes to the function given with the request, on a worker
/// thread. If too many requests wait, the answer is a failure at once, on the
/// calling thread. Safe from any thread.
class StoreAccess {
public:
  StoreAccess(store::Table &Table, store::ObjectStore &Objects,
              Workers &Threads);

  void run(const records::ReadRow &Request,
           const std::function<void(records::RowRead)> &Answer);
  void run(const records::ScanRows &Request,
           const std::function<void(records::RowsScanned)> &Answer);
  void run(const records::CommitRows &Request,
           const std::function<void(records::CommitEnded)> &Answer);
  void run(const records::PutObject &Request,
           const std::function<void(records::ObjectEnded)> &Answer);
  void run(const records::GetObject &Request,
           const std::function<void(records::ObjectEnded)> &Answer);
  void run(const records::RemoveObject &Request);

private:
  store::Table &m_Table;
  store::ObjectStore &m_Objects;
  Workers &m_Threads;
};

} // namespace hyssopcross::entry

#endif
