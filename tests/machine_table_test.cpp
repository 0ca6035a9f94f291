// What a partition leader concludes of its machines from their heartbeats, and under which fencing
// tokens it sends commands.
#include <gtest/gtest.h>

#include "core/machines/command_trace.h"
#include "core/machines/machine_table.h"

namespace scheduler::test {
namespace {

constexpr std::uint64_t kTerm = 7;

// A machine table with a worker lease of 17 s, its only machine, and the first heartbeat of that
// machine, which has been applied.
struct SingleMachineTable {
    MachineTable table{17, 1};
    Machine& machine =
        table.add(0, "i-1", {"m8", 8, 0, 32, 20, 1, 1, 1, 10, {"a"}}, "a", false, {}, kTerm);
    Heartbeat heartbeat;

    SingleMachineTable() {
        heartbeat.machine = "i-1";
        heartbeat.agent_epoch = 1;
        heartbeat.sequence = 1;
        heartbeat.fencing_token = make_fencing_token(kTerm, 0);
        table.apply_heartbeat(0, machine, heartbeat, 0);
    }
};

TEST(MachineTable, DirectStartIsRemovedOnlyUnderAHigherFencingToken) {
    SingleMachineTable single;
    auto& [table, machine, heartbeat] = single;
    EXPECT_TRUE(machine.fenced);
    TaskId task{"req-1", 0};
    Placement placement;
    placement.attempt = 1;
    table.queue_start(0, machine, task, placement);
    table.on_commands_sent(machine, table.take_commands_for_request(machine), 5);
    table.fence(machine); // the command was not answered
    // A heartbeat under the token of the start may have been sent before the start arrived.
    heartbeat.sequence = 2;
    EXPECT_TRUE(table.apply_heartbeat(1, machine, heartbeat, 0).removed.empty());
    EXPECT_FALSE(machine.fenced);
    heartbeat.sequence = 3;
    heartbeat.fencing_token = make_fencing_token(kTerm, 1);
    EXPECT_EQ(table.apply_heartbeat(2, machine, heartbeat, 0).removed.size(), 1u);
    EXPECT_TRUE(machine.fenced);
    // A token of an earlier term does not fence, however high its sequence.
    heartbeat.sequence = 4;
    heartbeat.fencing_token = make_fencing_token(kTerm - 1, 1000);
    table.apply_heartbeat(3, machine, heartbeat, 0);
    EXPECT_FALSE(machine.fenced);
}

// A task may be started in an agent epoch that only the response to a direct command has revealed.
// Judged by the lease of the previous epoch, it would be considered gone while it still runs.
TEST(MachineTable, AgentEpochLearnedFromACommandResponseHasItsOwnLease) {
    SingleMachineTable single;
    auto& [table, machine, heartbeat] = single;
    table.on_lease_renewed(0, machine);
    heartbeat.agent_epoch = 2;
    heartbeat.sequence = 2;
    table.apply_heartbeat(16, machine, heartbeat, 5);
    EXPECT_FALSE(table.lease_expired(20, machine));
    EXPECT_FALSE(table.lease_expired(16 + 17, machine));
    EXPECT_TRUE(table.lease_expired(16 + 20, machine));
}

constexpr double kMaxHold_s = 4.5;

// A task that was started directly on the machine and has exited, as its heartbeats report it.
struct ExitedTask {
    TaskId task{"req-1", 0};
    std::uint64_t attempt = 1;
    TaskStatus status() const { return {task, attempt, TaskStage::exited, ExitReason::error}; }

    void start(SingleMachineTable& single, bool directly) const {
        Placement placement;
        placement.attempt = attempt;
        single.table.queue_start(0, single.machine, task, placement);
        if (directly) {
            single.table.on_commands_sent(
                single.machine, single.table.take_commands_for_request(single.machine), 5);
            single.machine.command_in_flight = 0; // answered
        } else {
            single.table.take_commands_for_response(single.machine);
        }
    }
    void report(SingleMachineTable& single, std::uint64_t fencing_sequence) const {
        ++single.heartbeat.sequence;
        single.heartbeat.fencing_token = make_fencing_token(kTerm, fencing_sequence);
        single.heartbeat.tasks = {status()};
        single.table.apply_heartbeat(1, single.machine, single.heartbeat, 0);
    }
};

// A worker that has forgotten an attempt begins it again on a late copy of its start.
TEST(MachineTable, DirectlyStartedTaskIsClearedOnlyUnderAHigherToken) {
    SingleMachineTable single;
    ExitedTask exited;
    exited.start(single, true);
    exited.report(single, 0);
    EXPECT_FALSE(single.machine.may_clear(exited.status()));
    MachineTable::raise_token_for_clears(1, single.machine, {exited.status()}, kMaxHold_s);
    EXPECT_EQ(single.machine.fencing_sequence, 1u);
    EXPECT_TRUE(single.machine.may_clear(exited.status()));
    EXPECT_TRUE(single.machine.fenced) << "a raised token closes no machine";
    // The response was lost: the clear is repeated under the same token.
    exited.report(single, 0);
    MachineTable::raise_token_for_clears(2, single.machine, {exited.status()}, kMaxHold_s);
    EXPECT_EQ(single.machine.fencing_sequence, 1u);
    EXPECT_TRUE(single.machine.may_clear(exited.status()));
}

TEST(MachineTable, TaskStartedInAHeartbeatResponseIsClearedWithoutAHigherToken) {
    SingleMachineTable single;
    ExitedTask exited;
    exited.start(single, false);
    exited.report(single, 0);
    MachineTable::raise_token_for_clears(1, single.machine, {exited.status()}, kMaxHold_s);
    EXPECT_EQ(single.machine.fencing_sequence, 0u);
    EXPECT_TRUE(single.machine.may_clear(exited.status()));
}

// Its start may have been sent under any token up to the one that the worker shows.
TEST(MachineTable, ReportedExitOfUnknownOriginIsClearedOnlyUnderAHigherToken) {
    SingleMachineTable single;
    ExitedTask exited;
    exited.report(single, 0);
    EXPECT_FALSE(single.machine.may_clear(exited.status()));
    MachineTable::raise_token_for_clears(1, single.machine, {exited.status()}, kMaxHold_s);
    EXPECT_TRUE(single.machine.may_clear(exited.status()));
}

TEST(MachineTable, AdoptedTaskIsClearedOnlyUnderAHigherToken) {
    SingleMachineTable single;
    ExitedTask exited;
    MachineTable::adopt(0, single.machine, {exited.task, exited.attempt, TaskStage::running, {}},
                        {});
    exited.report(single, 0);
    EXPECT_FALSE(single.machine.may_clear(exited.status()));
}

// The worker would refuse a start that is on its way under the present token.
TEST(MachineTable, ClearsAreHeldForStartsUnderWay) {
    SingleMachineTable single;
    ExitedTask exited;
    exited.start(single, true);
    exited.report(single, 0);
    LentSlot lent;
    lent.fencing_token = single.machine.fencing_token();
    single.machine.lent_slots[{9, 0}] = lent;
    for (Time now : {1.0, 1.0 + kMaxHold_s / 2}) {
        MachineTable::raise_token_for_clears(now, single.machine, {exited.status()}, kMaxHold_s);
        EXPECT_EQ(single.machine.fencing_sequence, 0u) << now;
    }
    MachineTable::raise_token_for_clears(1 + kMaxHold_s, single.machine, {exited.status()},
                                         kMaxHold_s);
    EXPECT_EQ(single.machine.fencing_sequence, 1u);
}

// Exits that wait for their clear fill the heartbeats.
TEST(MachineTable, ClearsAreNotHeldBeyondOneForEachCpu) {
    SingleMachineTable single;
    single.machine.command_in_flight = 7;
    std::vector<TaskStatus> exits;
    for (std::uint32_t i = 0; i < 8; ++i) {
        exits.push_back({{"req-1", i}, i + 1, TaskStage::exited, ExitReason::done});
    }
    single.heartbeat.tasks = exits;
    ++single.heartbeat.sequence;
    single.table.apply_heartbeat(1, single.machine, single.heartbeat, 0);
    MachineTable::raise_token_for_clears(1, single.machine, {exits[0]}, kMaxHold_s);
    EXPECT_EQ(single.machine.fencing_sequence, 0u);
    MachineTable::raise_token_for_clears(1, single.machine, exits, kMaxHold_s);
    EXPECT_EQ(single.machine.fencing_sequence, 1u);
}

// A sequence beyond its bits would change the term: lower tokens than before, or another owner's.
TEST(MachineTable, FencingSequenceEndsAtItsLastNumberWithinTheTerm) {
    SingleMachineTable single;
    auto& [table, machine, heartbeat] = single;
    machine.fencing_sequence = kMaxFencingSequence - 1;
    EXPECT_FALSE(machine.fencing_exhausted());
    for (int k = 0; k < 3; ++k) {
        MachineTable::fence(machine);
        EXPECT_TRUE(machine.fencing_exhausted());
        EXPECT_EQ(term_of_fencing_token(machine.fencing_token()), kTerm);
        EXPECT_EQ(machine.fencing_token(), make_fencing_token(kTerm, kMaxFencingSequence));
    }
    ++heartbeat.sequence;
    heartbeat.fencing_token = machine.fencing_token();
    table.apply_heartbeat(1, machine, heartbeat, 0);
    EXPECT_TRUE(machine.fenced);
}

// No start leaves directly under the last token, so it settles those that left before.
TEST(MachineTable, LastTokenOfATermStillSettlesStartsAndClears) {
    SingleMachineTable single;
    auto& [table, machine, heartbeat] = single;
    machine.fencing_sequence = kMaxFencingSequence - 1;
    ExitedTask exited;
    exited.start(single, true);
    Placement unanswered;
    unanswered.attempt = 2;
    table.queue_start(0, machine, {"req-1", 1}, unanswered);
    table.on_commands_sent(machine, table.take_commands_for_request(machine), 6);
    exited.report(single, kMaxFencingSequence - 1);
    EXPECT_EQ(machine.tasks.size(), 1u) << "the start without an answer may still arrive";
    MachineTable::raise_token_for_clears(1, machine, {exited.status()}, 0);
    EXPECT_TRUE(machine.may_clear(exited.status()));
    ++heartbeat.sequence;
    heartbeat.fencing_token = machine.fencing_token();
    heartbeat.tasks.clear();
    table.apply_heartbeat(2, machine, heartbeat, 0);
    EXPECT_TRUE(machine.tasks.empty());
    EXPECT_TRUE(machine.exited_start_tokens.empty());
}

TEST(CommandTrace, DescribesTheLatestCommandsAboutATaskInOrder) {
    CommandTrace trace(3);
    TaskId task{"req-1", 4};
    for (std::uint64_t attempt = 1; attempt <= 4; ++attempt) {
        TaskId other{"req-2", 0};
        trace.record({static_cast<Time>(attempt),
                      "i-1",
                      2,
                      make_fencing_token(kTerm, attempt),
                      attempt % 2 == 0,
                      {CommandType::start, attempt == 3 ? other : task, attempt, 0}});
    }
    auto lines = trace.describe(task); // the first command was overwritten by the fourth
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_EQ(lines[0], "command=start task=req-1/4 attempt=2 machine=i-1 agent_epoch=2 token=" +
                            std::to_string(make_fencing_token(kTerm, 2)) +
                            " via=direct at=2.000000");
    EXPECT_NE(lines[1].find(" attempt=4 "), std::string::npos);
    EXPECT_TRUE(trace.describe({"req-3", 0}).empty());
}

} // namespace
} // namespace scheduler::test
