#pragma once

#include "Sardineford/Settings/Settings.h"

namespace sardineford::duties {

using settings::Setting;

inline const Setting<std::string> DutyEndpoint{
    "duties.endpoint", "",
    "address of the platform's interface for duties; empty for none"};
inline const Setting<std::string> DutyNames{
    "duties.names", "",
    "duties of this deployment, separated by commas: usage_report, scaling"};
inline const Setting<int64_t> DutyLease{
    "duties.lease_ms",
    3'000,
    1'000,
    60'000,
    "ms",
    "time within which calls of alternating holders break the platform's "
    "rules"};
inline const Setting<double> UsageWindowLength{
    "duties.usage_window_s",
    5,
    1,
    3'600,
    "s",
    "length of the windows of the usage reports"};
inline const Setting<double> UsageDue{
    "duties.usage_late_s",
    10,
    1,
    3'600,
    "s",
    "time after the end of a window when its report is late"};
inline const Setting<double> DutyCallRate{
    "duties.calls_per_s",
    10,
    0.1,
    1e6,
    "1/s",
    "limit of the platform for calls of all processes; at most 10 a second are "
    "made"};
inline const Setting<bool> FencingChecked{
    "duties.fencing_checked", true,
    "the platform rejects tokens lower than the highest it has seen; logged "
    "only, since the waits of the lease do not depend on it"};

} // namespace sardineford::duties
