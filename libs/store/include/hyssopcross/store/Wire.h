#ifndef HYSSOPCROSS_STORE_WIRE_H
#define HYSSOPCROSS_STORE_WIRE_H

#include "hyssopcross/base/Error.h"
#include "hyssopcross/store/Types.h"
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The JSON messages of docs/PLATFORM.md. Decoding fails with Protocol and
/// names what is wrong; it never throws. Encoding, but for writes, replaces
/// bytes that are not UTF-8.
namespace hyssopcross::store {

/// The body of an answer to reading one row.
std::string encodeRow(const Row &Row);
Result<Row> decodeRow(std::string_view Json);

/// The body of an answer to a scan.
std::string encodeRows(const std::map<std::string, Row> &Rows);
Result<std::map<std::string, Row>> decodeRows(std::string_view Json);

/// The body of a commit. Fails with InvalidInput if a key or value is not
/// UTF-8.
Result<std::string> encodeWrites(std::span<const Write> Writes);
Result<std::vector<Write>> decodeWrites(std::string_view Json);

/// The body of an answer to a commit.
std::string encodeCommitResult(CommitResult Committed);
Result<CommitResult> decodeCommitResult(std::string_view Json);

/// The body of an answer to a listing of objects.
std::string encodeKeys(std::span<const std::string> Keys);
Result<std::vector<std::string>> decodeKeys(std::string_view Json);

/// The list of VMs, and one record of it.
std::string encodeVms(std::span<const VmRecord> Vms);
Result<std::vector<VmRecord>> decodeVms(std::string_view Json);
std::string encodeVm(const VmRecord &Vm);
Result<VmRecord> decodeVm(std::string_view Json);

} // namespace hyssopcross::store

#endif
