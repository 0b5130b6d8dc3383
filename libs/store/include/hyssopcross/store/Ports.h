#ifndef HYSSOPCROSS_STORE_PORTS_H
#define HYSSOPCROSS_STORE_PORTS_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/store/Types.h"
#include <map>
#include <span>
#include <string_view>

namespace hyssopcross::store {

/// The platform's transactional table. Calls block for at most the timeout the
/// implementation was built with and may be made from any thread.
class Table {
public:
  virtual ~Table() = default;

  /// Reads a row; no value if it is absent. Fails with Unavailable.
  virtual Result<std::optional<Row>> read(std::string_view Key) = 0;

  /// Reads the rows whose keys start with Prefix, in key order, at most Limit.
  /// Fails with Unavailable.
  virtual Result<std::map<std::string, Row>> scan(std::string_view Prefix,
                                                  size_t Limit) = 0;

  /// Applies all writes or none. Fails with Unavailable if nothing can have
  /// taken effect, and with Unknown if the answer was lost.
  virtual Result<CommitResult> commit(std::span<const Write> Writes) = 0;
};

/// The platform's object store. Blocking and threading as for Table.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Stores an object, replacing one of the same key. Fails with Unavailable
  /// or Unknown.
  virtual Result<void> put(std::string_view Key, std::string_view Body) = 0;

  /// Reads an object. Fails with NotFound or Unavailable.
  virtual Result<std::string> get(std::string_view Key) = 0;

  /// Removes an object; removing an absent one succeeds. Fails with
  /// Unavailable or Unknown.
  virtual Result<void> remove(std::string_view Key) = 0;

  /// The keys that start with Prefix, in order, at most Limit. Fails with
  /// Unavailable.
  virtual Result<std::vector<std::string>> list(std::string_view Prefix,
                                                size_t Limit) = 0;
};

/// The platform's lagging list of VMs. Blocking and threading as for Table.
class VmList {
public:
  virtual ~VmList() = default;

  /// Reads the whole list. Fails with Unavailable.
  virtual Result<std::vector<VmRecord>> fetch() = 0;
};

} // namespace hyssopcross::store

#endif
