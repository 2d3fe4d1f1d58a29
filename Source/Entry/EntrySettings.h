#pragma once

#include "Sardineford/Settings/Settings.h"

namespace sardineford::entry {

using settings::Setting;

inline constexpr int64_t Megabyte = int64_t{1024} * 1024;

inline const Setting<int64_t> MaxBodyBytes{"entry.max_body_bytes",
                                           4 * Megabyte,
                                           1024,
                                           static_cast<double>(64 * Megabyte),
                                           "bytes",
                                           "largest body of a request"};
inline const Setting<int64_t> ViewInterval{
    "entry.view_interval_ms",
    250,
    10,
    60'000,
    "ms",
    "time between reports to the holder of a pool"};
inline const Setting<int64_t> ReportLag{
    "entry.report_lag_ms",
    200,
    0,
    60'000,
    "ms",
    "lag of engine reports that routing allows for"};
inline const Setting<int64_t> FirstTokenTimeout{
    "entry.first_token_timeout_ms",
    3'000,
    10,
    600'000,
    "ms",
    "wait for a first token beyond its estimate before an engine is suspected"};
inline const Setting<int64_t> BetweenTokensTimeout{
    "entry.between_tokens_timeout_ms",
    2'000,
    10,
    600'000,
    "ms",
    "wait between tokens before a connection is suspected"};
inline const Setting<int64_t> HeadTimeout{
    "entry.head_timeout_ms",
    1'000,
    10,
    600'000,
    "ms",
    "wait for an engine to accept a request"};
inline const Setting<int64_t> StartWait{
    "entry.start_wait_ms",
    5'000,
    0,
    600'000,
    "ms",
    "longest time after its start that an entry is not ready because a pool or "
    "a service has no known instance"};
inline const Setting<int64_t> NoEngineWait{
    "entry.no_engine_wait_ms",
    3'000,
    0,
    600'000,
    "ms",
    "time that an accepted request waits while no engine takes new work"};
inline const Setting<int64_t> OnceWriteTimeout{
    "entry.once_write_timeout_ms",
    2'000,
    10,
    60'000,
    "ms",
    "longest time to settle the record of a call that must not repeat"};
inline const Setting<bool> WriteRecords{
    "entry.write_once_records", true,
    "write the record of a call that must not repeat before it is run; off "
    "only to show what the record prevents"};
inline const Setting<bool> SentIsUnknown{
    "entry.sent_is_unknown", true,
    "treat a call as possibly run once bytes of it were sent; off only to show "
    "what that prevents"};
inline const Setting<bool> HeedLeaving{
    "entry.heed_leaving", true,
    "send no new work to backend servers that are leaving; off only to show "
    "what that prevents"};
inline const Setting<bool> ContinueStreams{
    "entry.continue_streams", true,
    "go on with a broken stream; off only to show what that prevents"};

} // namespace sardineford::entry
