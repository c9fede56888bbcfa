@linked
Feature: The operators' path
  Operators change the fleet through any entry, and are told what became of it.

  Scenario Outline: A command that can't be carried out: <case>
    When an operator runs a command with <case>
    Then the command exits with <code> and says "<words>"

    Examples:
      | case                    | code | words             |
      | no entry to reach       | 3    | no entry answered |
      | a file that is missing  | 2    | No such file      |
      | a file that is no YAML  | 2    | line 1            |
      | a file with two faults  | 2    | global.slots      |
      | a stale base revision   | 4    | changed           |
      | an unknown data centre  | 2    | does not exist    |
      | an unknown request      | 7    | no entry          |
      | the store down          | 1    | nothing was changed |

  Scenario: A change whose answer is lost is settled
    When the store loses the answer of a change
    Then the change is accepted once

  Scenario: A change that nobody can settle is unknown, and can be repeated
    When the store loses the answer of a change and goes down
    Then the command exits with 5 and says "--operation-id"
    When the store is back and the operator repeats the command
    Then the change is accepted once

  Scenario: A change is in force everywhere at once
    When an operator drains records-1
    Then every entry has the revision and shows records-1 as out

  Scenario: An accepted change holds when the store goes down right after
    When an operator drains records-2 and the store goes down
    Then for 4 seconds every serving entry shows records-2 as out

  Scenario: An entry cut from the store hears of a change from its peers
    Given entry-2 is cut from the store
    When an operator drains records-3
    Then entry-2 shows records-3 as out within 3 seconds and serves

  Scenario: An entry cut off from all takes no work, and repairs itself
    Given entry-2 is cut off from all
    Then entry-2 refuses reads with not_serving within 4 seconds
    When the cuts heal
    Then entry-2 serves again within 6 seconds

  Scenario: An entry that starts in an outage learns from its peers
    Given the store is down
    When entry-3 is killed and started again with seeds
    Then entry-3 has the revision of its peers within 8 seconds
    And the entries that were up went on serving

  Scenario: Status and explanation tell what happened
    When a read goes through entry-1
    Then its explanation names the upstream that ran it
    And the status names every entry, data centre and upstream
