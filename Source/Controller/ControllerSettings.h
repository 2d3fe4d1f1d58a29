#pragma once

#include "Sardineford/Settings/Settings.h"

namespace sardineford::controller {

using settings::Setting;

inline const Setting<int64_t> LeaseDuration{
    "plan.lease_ms",
    3'000,
    100,
    60'000,
    "ms",
    "time that a lease stays valid after its last renewal"};
inline const Setting<int64_t> LeaseRenewInterval{
    "plan.renew_ms", 1'000, 20,
    60'000,          "ms",  "time between renewals of a lease"};
inline const Setting<int64_t> LeaseMargin{
    "plan.margin_ms",
    300,
    0,
    60'000,
    "ms",
    "time that other processes wait after a lease expires before they take "
    "it over"};
inline const Setting<int64_t> ObserveInterval{
    "plan.observe_ms",
    500,
    10,
    60'000,
    "ms",
    "interval at which a process that may take over reads the lease"};
inline const Setting<int64_t> Contenders{
    "plan.contenders",
    3,
    1,
    100,
    "",
    "number of processes that may take over one lease"};
inline const Setting<int64_t> StepDownAfter{
    "plan.step_down_after_ms",
    5'000,
    100,
    600'000,
    "ms",
    "time without a report from any entry process after which a holder steps "
    "down from its lease"};
inline const Setting<int64_t> PollInterval{
    "plan.poll_ms", 200,  10,
    60'000,         "ms", "time between polls of a pool's engines"};
inline const Setting<int64_t> PollTimeout{
    "plan.poll_timeout_ms",          500, 10, 60'000, "ms",
    "timeout of a poll of an engine"};
inline const Setting<int64_t> DrainMark{
    "plan.drain_mark_ms",
    1'200,
    10,
    60'000,
    "ms",
    "time after which an engine's report includes all requests that were sent "
    "to it"};
inline const Setting<int64_t> DrainLimit{
    "plan.drain_limit_ms",
    60'000,
    100,
    3'600'000,
    "ms",
    "maximum drain time; a longer drain aborts the role change"};
inline const Setting<int64_t> OrderTimeout{
    "plan.order_timeout_ms",
    20'000,
    100,
    600'000,
    "ms",
    "timeout for the result of an order"};
inline const Setting<int64_t> GoneQuarantine{
    "plan.gone_quarantine_ms",
    12'000,
    0,
    600'000,
    "ms",
    "time after the end of a lost holder's process during which data that it "
    "sent may still arrive"};
inline const Setting<bool> Fencing{
    "plan.fencing", true,
    "send the epoch as fencing number; off only to show the faults that this "
    "prevents"};
inline const Setting<bool> Freezing{
    "plan.freezing", true,
    "freeze engines with an order of a lost holder; off only to show the "
    "faults that this prevents"};
inline const Setting<bool> CheckLeaseBeforeSend{
    "plan.check_lease_before_send", true,
    "check the lease before an order is sent; off only to show the faults that "
    "this prevents"};
inline const Setting<bool> DrainFirst{
    "plan.drain_first", true,
    "drain an engine before its role change; off only to show the faults that "
    "this prevents"};
inline const Setting<int64_t> DecideInterval{
    "roles.decide_ms",
    500,
    10,
    60'000,
    "ms",
    "time between decisions on role changes"};
inline const Setting<int64_t> Horizon{
    "roles.horizon_ms",
    15'000,
    100,
    3'600'000,
    "ms",
    "time over which the gain of a role change is estimated"};
inline const Setting<int64_t> ExpectedDrain{
    "roles.expected_drain_ms",
    4'000,
    0,
    3'600'000,
    "ms",
    "expected drain time of a role change"};
inline const Setting<int64_t> MinBetweenChanges{
    "roles.min_between_changes_ms",
    4'000,
    0,
    3'600'000,
    "ms",
    "minimum time between two role changes of a pool"};
inline const Setting<int64_t> FastEstimate{
    "roles.fast_estimate_ms",
    3'000,
    10,
    3'600'000,
    "ms",
    "time constant of the fast moving average of demand"};
inline const Setting<int64_t> SlowEstimate{
    "roles.slow_estimate_ms",
    30'000,
    10,
    3'600'000,
    "ms",
    "time constant of the slow moving average of demand"};

} // namespace sardineford::controller
