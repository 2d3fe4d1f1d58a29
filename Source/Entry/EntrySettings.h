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
                                           "maximum size of a request body"};
inline const Setting<int64_t> ViewInterval{
    "entry.view_interval_ms",
    250,
    10,
    60'000,
    "ms",
    "interval of load reports to the holder of a pool"};
inline const Setting<int64_t> ReportLag{
    "entry.report_lag_ms",
    200,
    0,
    60'000,
    "ms",
    "assumed lag of the load reports of engines"};
inline const Setting<int64_t> FirstTokenTimeout{
    "entry.first_token_timeout_ms",
    3'000,
    10,
    600'000,
    "ms",
    "timeout of the first token, added to a multiple of its estimated time"};
inline const Setting<int64_t> BetweenTokensTimeout{
    "entry.between_tokens_timeout_ms",
    2'000,
    10,
    600'000,
    "ms",
    "timeout between tokens, after which the stream is resumed on a new "
    "connection"};
inline const Setting<int64_t> HeadTimeout{
    "entry.head_timeout_ms",
    1'000,
    10,
    600'000,
    "ms",
    "timeout for an engine to accept a request"};
inline const Setting<int64_t> StartWait{
    "entry.start_wait_ms",
    5'000,
    0,
    600'000,
    "ms",
    "maximum time after the start that an entry reports not ready while a pool "
    "or a service has no known instance"};
inline const Setting<int64_t> NoEngineWait{
    "entry.no_engine_wait_ms",
    3'000,
    0,
    600'000,
    "ms",
    "maximum wait of an admitted request while no engine accepts new work"};
inline const Setting<int64_t> OnceWriteTimeout{
    "entry.once_write_timeout_ms",
    2'000,
    10,
    60'000,
    "ms",
    "timeout for writing the record of a request that must run at most once"};
inline const Setting<bool> WriteRecords{
    "entry.write_once_records", true,
    "write a record before executing a request that must run at most once; "
    "disable only to demonstrate the failure that the record prevents"};
inline const Setting<bool> SentIsUnknown{
    "entry.sent_is_unknown", true,
    "treat a request as possibly executed once bytes of it were sent; disable "
    "only to demonstrate the failure that this prevents"};
inline const Setting<bool> HeedLeaving{
    "entry.heed_leaving", true,
    "send no new work to backend servers that are leaving; disable only to "
    "demonstrate the failure that this prevents"};
inline const Setting<bool> ContinueStreams{
    "entry.continue_streams", true,
    "continue interrupted streams; disable only to demonstrate the failure "
    "that this prevents"};

} // namespace sardineford::entry
