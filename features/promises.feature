@linked
Feature: Single promises
  Each of these is about one promise that a general campaign meets too seldom.

  Scenario Outline: Probes stay within the budget while <fault>
    When nobody calls for 6 seconds while <fault>
    Then upstreams were probed
    And the history keeps every promise

    Examples:
      | fault                               |
      | nothing fails                       |
      | an entry is killed                  |
      | an entry is replaced                |
      | two entries are cut from each other |
      | the store is down                   |
      | the list leases lapse               |
      | probes fail                         |

  Scenario: An answer cut short reaches the caller as an error
    When a caller asks records for "/cut?parts=6&interval_ms=10"
    Then the answer is not whole

  Scenario: An answer cut short leaves its upstream warm
    When a caller asks records for "/cut?parts=6&interval_ms=10"
    And callers go on reading for 3 seconds
    Then an entry reports the repair "warm again" because "it had not restarted"

  Scenario: Early parts pass on at once
    When a caller asks records for "/stream?parts=10&interval_ms=50"
    Then the first part came before a quarter of the time

  Scenario: A caller that goes away cancels its read at the upstream
    When a caller goes away from "/stream?parts=100&interval_ms=50"
    Then the upstream sees the cancellation

  Scenario: A slow reader gets the whole answer and holds little memory
    When a slow caller reads 20000000 bytes
    Then the slow answer is whole and the entry grew by less than 8000000 bytes

  Scenario: A slow read is hedged, and the loser cancelled
    Given records-0 takes 1500 ms
    When callers send 300 reads in a row
    Then every read was answered
    And some read was hedged
    And the upstream sees the cancellation

  Scenario: A request that crashes upstreams kills at most two
    When a request that crashes upstreams is sent 6 times beside others
    Then at most 2 upstreams died
    And the requests beside it were answered in the end
    And the last refusal of it has reason crashes_upstreams

  Scenario: A request that crashes upstreams is refused in the end
    Given each read takes 5 ms
    When a request that crashes upstreams is sent 6 times beside others
    Then at most 2 upstreams died
    And the last refusal of it has reason crashes_upstreams

  Scenario: A suspect does not run where a crashing request is hedged
    Given each read takes 20 ms
    And only urgent reads are hedged
    When an urgent request that crashes upstreams after 300 ms is sent 4 times beside 20 readers and 8 slow ones
    Then at most 2 upstreams died
    And the requests beside it were answered in the end
    And the last refusal of it has reason crashes_upstreams

  Scenario: Nobody beside a crashing request is condemned for its hedge
    Given each read takes 20 ms
    When a request that crashes upstreams after 300 ms is sent 4 times beside 20 readers and 12 slow ones
    Then at most 2 upstreams died
    And the requests beside it were answered in the end
    And the last refusal of it has reason crashes_upstreams

  Scenario Outline: A long answer outlives <stop>
    When a long answer is under way through entry-2 during <stop>
    Then the long answer is whole

    Examples:
      | stop                          |
      | the stop of its entry         |
      | the drain of its upstream     |
      | the outage of its data centre |

  Scenario: A request that can't meet its deadline is refused at once
    When 60 callers at once ask for reads of 400 ms with a deadline of 600 ms
    Then every answer came or was refused within 700 ms
    And each refusal says when to come back

  Scenario: Urgent reads go first
    When callers of both classes overload records for 3 seconds
    Then the urgent reads were answered and the others not starved

  Scenario: A late answer to a referral is kept for its repeat
    Given referrals take 1200 ms
    When a referral is sent with a deadline of 400 ms
    Then it gets 504 deadline_passed with verdict may_have_run within 700 ms
    When the same referral is sent again with a deadline of 4000 ms
    Then it is answered, and ran once

  Scenario: A key whose owner is frozen is refused at once, not held
    When a referral was answered through entry-1 and its owner entry-1 is frozen
    And the same referral is sent again with a deadline of 5000 ms
    Then it gets 503 owner_unreachable with verdict may_have_run within 1000 ms

  Scenario: Keys of a stopped entry are answered by every other at once
    When a referral was answered through entry-1 and entry-1 stops
    Then its repeat is answered through entry-2 and entry-3 at once
