Feature: What callers and operators meet at one node

  Background:
    Given the authority's site with 1 VMs

  Scenario Outline: Bad input gets a clear error and the node serves on
    When a caller sends <input>
    Then the answer has status <status> and reason <reason>
    And it says not run and what to do next
    And a query is answered whole

    Examples:
      | input                  | status | reason              |
      | broken JSON            | 400    | bad_request         |
      | a list                 | 400    | bad_request         |
      | an unknown field       | 400    | bad_request         |
      | a bad deadline         | 400    | bad_request         |
      | an unknown class       | 404    | unknown_class       |
      | an oversized body      | 413    | too_large           |
      | a slow body            | 408    | too_slow            |
      | a fetch without an id  | 428    | request_id_required |
      | a used id for another  | 409    | request_id_reused   |
      | an unknown path        | 404    | no_such_route       |

  Scenario: Hanging up cancels at the backend servers
    When a caller hangs up on a slow query
    Then the backend servers saw it cancelled
    And it is counted as withdrawn

  Scenario: The command line asks and is answered
    When the command line runs a query
    Then it prints a whole answer and exits 0
    When the command line runs a fetch
    Then it prints a whole answer and exits 0
    When the command line asks for a class that does not exist
    Then it exits 4 and says what to do next
    When the command line streams a query
    Then it prints a line for each shard and a summary
    When the command line asks for addresses
    Then it prints the VM's address and a lifetime
    When the command line asks for the status
    Then it prints every class and no problem

  Scenario: A captured trace replays to the same actions
    Given the node captures its events
    When callers send 40 requests a second for 2 seconds
    Then no promise is broken
    And the captured trace replays without a difference

  Scenario: Spans of all hops join by their trace id
    Given the node traces every query
    When the command line runs a query
    Then its spans join the node and 10 backend servers

  Scenario: The operators' page shows and checks targets
    When the page is read
    Then it names every class and what is wrong
    When a lower deadline is checked
    Then the check shows the difference and a document to publish
