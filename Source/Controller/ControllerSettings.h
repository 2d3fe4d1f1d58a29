#pragma once

#include "Sardineford/Settings/Settings.h"

namespace sardineford::controller {

using settings::Setting;

inline const Setting<int64_t> LeaseDuration{
    "plan.lease_ms", 3'000, 100,
    60'000,          "ms",  "time after its last renewal that a lease holds"};
inline const Setting<int64_t> RenewInterval{
    "plan.renew_ms", 1'000, 20, 60'000, "ms", "time between renewals"};
inline const Setting<int64_t> LeaseMargin{
    "plan.margin_ms",
    300,
    0,
    60'000,
    "ms",
    "time beyond the lease that others wait before they take over"};
inline const Setting<int64_t> ObserveInterval{
    "plan.observe_ms",
    500,
    10,
    60'000,
    "ms",
    "time between looks of a process that may take over"};
inline const Setting<int64_t> Contenders{
    "plan.contenders", 3, 1, 100, "", "processes that may take over one lease"};
inline const Setting<int64_t> StepDownAfter{
    "plan.step_down_after_ms",
    5'000,
    100,
    600'000,
    "ms",
    "time without a report of any entry process after which a holder gives "
    "its lease up"};
inline const Setting<int64_t> PollInterval{
    "plan.poll_ms", 200,  10,
    60'000,         "ms", "time between polls of a pool's engines"};
inline const Setting<int64_t> PollTimeout{
    "plan.poll_timeout_ms",
    500,
    10,
    60'000,
    "ms",
    "longest wait for an engine's report"};
inline const Setting<int64_t> DrainMark{
    "plan.drain_mark_ms",
    1'200,
    10,
    60'000,
    "ms",
    "time for an engine's report to show what arrived last"};
inline const Setting<int64_t> DrainLimit{
    "plan.drain_limit_ms",
    60'000,
    100,
    3'600'000,
    "ms",
    "longest drain before a role change is given up"};
inline const Setting<int64_t> OrderTimeout{
    "plan.order_timeout_ms",
    20'000,
    100,
    600'000,
    "ms",
    "longest wait for the outcome of an order"};
inline const Setting<int64_t> GoneQuarantine{
    "plan.gone_quarantine_ms",
    12'000,
    0,
    600'000,
    "ms",
    "time after the end of a lost holder's process in which its last bytes may "
    "still arrive"};
inline const Setting<bool> Fencing{
    "plan.fencing", true,
    "send the epoch as fencing number; off only to show what it prevents"};
inline const Setting<bool> Freezing{
    "plan.freezing", true,
    "freeze engines with an order of a lost holder; off only to show what it "
    "prevents"};
inline const Setting<bool> CheckLeaseBeforeSend{
    "plan.check_lease_before_send", true,
    "look at the lease before an order is sent; off only to show what it "
    "prevents"};
inline const Setting<bool> DrainFirst{
    "plan.drain_first", true,
    "drain before a role change; off only to show what that prevents"};
inline const Setting<int64_t> DecideInterval{"roles.decide_ms",
                                             500,
                                             10,
                                             60'000,
                                             "ms",
                                             "time between decisions on roles"};
inline const Setting<int64_t> Horizon{
    "roles.horizon_ms",
    15'000,
    100,
    3'600'000,
    "ms",
    "time over which the gain of a role change is counted"};
inline const Setting<int64_t> ExpectedDrain{
    "roles.expected_drain_ms",
    4'000,
    0,
    3'600'000,
    "ms",
    "drain time that a role change is expected to need"};
inline const Setting<int64_t> MinBetweenChanges{
    "roles.min_between_changes_ms",
    4'000,
    0,
    3'600'000,
    "ms",
    "shortest time between two role changes of a pool"};
inline const Setting<int64_t> FastEstimate{
    "roles.fast_estimate_ms",
    3'000,
    10,
    3'600'000,
    "ms",
    "time constant of the fast estimate of demand"};
inline const Setting<int64_t> SlowEstimate{
    "roles.slow_estimate_ms",
    30'000,
    10,
    3'600'000,
    "ms",
    "time constant of the slow estimate of demand"};

} // namespace sardineford::controller
