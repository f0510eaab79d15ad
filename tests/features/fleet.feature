Feature: Many nodes, one behaviour

  Scenario: A configuration comes into force everywhere
    Given the authority's site with 4 VMs
    When version 2 of the configuration is published
    Then every node has version 2 in force

  Scenario: A refused configuration displaces nothing
    Given the authority's site with 2 VMs
    When a faulty configuration is published
    Then every node keeps version 1 and says why

  Scenario: A stale configuration service never reverts
    Given the authority's site with 3 VMs
    When version 2 of the configuration is published
    And every node has version 2 in force
    And version 1 of the configuration is published again
    And every node is replaced, one after the other
    Then every node has version 2 in force

  Scenario: New nodes learn the configuration from peers
    Given the authority's site with 3 VMs
    When version 2 of the configuration is published
    And every node has version 2 in force
    And the configuration service goes down
    And one node is killed and started again
    Then every node has version 2 in force

  Scenario: A split fleet stays true and comes together again
    Given the authority's proxied site with 4 VMs
    When the fleet is split in two halves
    And version 2 of the configuration is published
    And callers send 40 requests a second for 4 seconds
    Then no promise is broken
    And every address answer names a VM
    When the split heals
    Then every node believes 4 members alive
    And every node has version 2 in force

  Scenario: Forged datagrams change nothing and are counted
    Given the authority's site with 2 VMs
    When a stray sender tells of members with a wrong key
    Then every node believes 2 members alive
    And the forged datagrams are counted
