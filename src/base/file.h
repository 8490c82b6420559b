// Files that store state: reading and atomically replacing whole files, and records whose checksum reveals
// damage. Nothing here appends to a file; a package that keeps a log appends encoded records itself.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace beamshunt::base {

// Thrown if an operation on a file fails. what() reads "cannot <operation> <path>: <cause>".
class FileError : public std::runtime_error {
 public:
  // `failed_operation` is a verb such as "open" or "rename over"; `errno_value` is the errno of the failed
  // call.
  FileError(const std::string& failed_operation, const std::string& file, int errno_value);
  std::string operation;
  std::string path;
  int error_number;
};

// Returns the content of the file, or nullopt if the file does not exist. Throws FileError for any other
// failure.
std::optional<std::string> read_file(const std::string& path);

// Replaces the content of the file `path` by `bytes`, atomically and durably. If the process is killed at any
// point, the file has either its old content or the new one, each complete: the new content is written to
// `path`.new, synced and renamed over `path`, and then the folder is synced. When the function returns, the
// new content is on disk. Throws FileError; the old content stays, unless only syncing the folder failed.
void replace_file(const std::string& path, std::string_view bytes);

// Size of the header before the payload of a record: the payload's length (4 bytes) and its XXH3 checksum (8
// bytes).
constexpr std::size_t kRecordHeaderBytes = 12;

// Returns `payload` with a record header before it, the format of state files and logs.
std::string encode_record(std::string_view payload);

// Returns the payload of the record at `offset` of `bytes` and advances `offset` to the end of the record.
// The payload points into `bytes`. Returns nullopt, and leaves `offset` unchanged, if the record is
// incomplete or damaged or if `offset` is the end of `bytes`.
std::optional<std::string_view> read_record(std::string_view bytes, std::size_t& offset);

// Distinguishes an incomplete last record from damage, after read_record() has failed at `offset`. Returns
// the offset of the first intact, non-empty record that starts after `offset`. If there is one, the file is
// damaged before its end, and skipping the damage or truncating the file at `offset` would silently lose
// records. Returns nullopt if there is none: the bytes from `offset` on are an incomplete last record, as a
// killed process leaves it in a log.
std::optional<std::size_t> find_record_after(std::string_view bytes, std::size_t offset);

}  // namespace beamshunt::base
