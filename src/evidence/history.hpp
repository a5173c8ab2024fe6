#ifndef GOOSEBERRYCOVE_EVIDENCE_HISTORY_HPP
#define GOOSEBERRYCOVE_EVIDENCE_HISTORY_HPP

#include <gooseberrycove/ring.hpp>

#include <cstdint>
#include <iosfwd>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// Histories as JSON lines: the events that the test tools record and the
/// checker reads.
namespace gooseberrycove::evidence
{

/// One line of a history. Members that an event does not use keep their
/// default and are not written. Times are microseconds of CLOCK_MONOTONIC,
/// which all processes of one machine share.
struct record
{
    std::string event;
    std::string request;
    std::string key;
    std::string stream;
    std::string server;
    std::string service;
    std::string daemon;
    /// `ip:port` at which callers reach the daemon.
    std::string address;
    std::string outcome;
    std::string reason;
    std::int64_t status = 0;
    std::int64_t version = 0;
    std::int64_t healthy_slots = 0;
    std::int64_t floor_slots = 0;
    std::int64_t ejected = 0;
    std::int64_t arrived_us = 0;
    std::int64_t time_us = 0;
    std::optional<bool> complete;
    std::optional<bool> own;
    std::optional<bool> graceful;
};

/// Encodes a record as one JSON object without a line end.
std::string to_json(record const& entry);

/// Parses one JSON object. Members that a record does not have are ignored.
/// \throws std::invalid_argument when \p line is no JSON object, a member has
///         the wrong type, or `event` is missing
record parse_record(std::string_view line);

/// Microseconds of CLOCK_MONOTONIC.
std::int64_t to_micros(time_point time);

/// Ring of the history duty.
using history_inbox = ring<record>;

inline constexpr std::size_t history_capacity = 65536;

/// Writes records to \p out until \p records is closed and empty. Each batch
/// is flushed, so a killed process loses at most the records of one batch.
void write_history(history_inbox& records, std::ostream& out);

/// Writer thread for one file; without a path records are discarded. Joins on
/// destruction.
class history_log
{
public:
    /// Opens the file to append.
    /// \throws settings_error when it cannot be written
    explicit history_log(std::string_view path);
    ~history_log();

    history_log(history_log const&) = delete;
    history_log& operator=(history_log const&) = delete;

    /// Can be called from any thread. A record that finds the ring full is
    /// dropped and counted; a `lost` record at the end of the file then makes
    /// the checker reject the history.
    void add(record&& entry);

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace gooseberrycove::evidence

#endif
