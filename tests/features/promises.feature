Feature: What must always hold, on real processes
  The stand-ins' ledgers judge every answer.

  Scenario: Every answer is whole and true while a replica straggles
    Given the authority's site with 4 VMs
    When callers send 60 requests a second for 3 seconds
    And 1 second in, one replica of every shard becomes 20 times slower
    Then no promise is broken
    And every request is answered

  Scenario: A killed node costs no truth
    Given the authority's site with 4 VMs
    When callers send 60 requests a second for 4 seconds
    And 1 second in, two nodes are killed at once
    Then no promise is broken

  Scenario: A graceful shutdown cuts no request
    Given the gutterline's site with 4 VMs
    When callers send 40 requests a second for 20 seconds
    And 1 second in, one node is asked to leave
    Then no promise is broken
    And every request is answered
    And no caller had to try another VM
    And the node that left ended by itself with status 0

  Scenario: A second signal ends a leaving node at once
    Given the gutterline's site with 2 VMs
    When one node is asked to leave twice
    Then the node that left ended by itself with status 3
    And its log says what was left

  Scenario: A frozen node wakes late and runs nothing twice
    Given the authority's site with 3 VMs
    When callers send 40 requests a second for 8 seconds
    And 1 second in, one node is frozen for 5 seconds
    Then no promise is broken

  Scenario: Repartitioning during searches never mixes snapshots
    Given the gutterline's site with 3 VMs
    When callers send 60 requests a second for 4 seconds
    And 1 second in, a repartitioned snapshot is published
    And 2 seconds in, the former snapshot is dropped
    Then no promise is broken
    And some answers come from each snapshot

  Scenario: Silent connections are replaced
    Given the authority's site with 3 VMs
    When callers send 40 requests a second for 4 seconds
    And 1 second in, every open connection to a backend server goes silent
    Then no promise is broken
    And a query is answered whole

  Scenario: A request that crashes servers stops after two
    Given the gutterline's site with 3 VMs
    When a request that crashes servers is sent to every VM in turn
    Then at most two servers crashed
    And the last refusal says not run and when to come back

  Scenario: A leaving backend server gets no new work
    Given the gutterline's site with 3 VMs
    When one backend server drains and its health endpoint lies
    And callers send 60 requests a second for 4 seconds
    Then the drained server ran nothing after 3 seconds
    And no promise is broken

  Scenario: A request id works through any VM and runs once
    Given the authority's site with 3 VMs
    When one request id is sent 4 times through different VMs at once
    Then it ran exactly once
    And all callers were told the same

  Scenario: A request id of a killed node is unknown
    Given the authority's site with 3 VMs
    When a request id is taken and its VM is killed
    Then sending it elsewhere is answered unknown and runs nothing
