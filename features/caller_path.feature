@plain
Feature: The caller's path
  Callers ask for addresses, send requests, and get answers or clear refusals.

  Scenario: Addresses come nearest first
    When a caller in south asks for addresses
    Then entry-2 is the first of 3 addresses

  Scenario: A read is answered
    When a caller sends a read
    Then the answer has status 200 and verdict ran

  Scenario Outline: Bad input gets a clear refusal
    When a caller sends a request with <fault>
    Then the refusal is <status> <reason> with verdict <verdict>
    And the refusal is logged once

    Examples:
      | fault                  | status | reason                 | verdict      |
      | no service             | 400    | bad_request            | not_run      |
      | an unknown service     | 404    | unknown_service        | not_run      |
      | a malformed deadline   | 400    | bad_request            | not_run      |
      | a zero deadline        | 400    | bad_request            | not_run      |
      | an unknown class       | 400    | bad_request            | not_run      |
      | a body over the limit  | 413    | body_too_large         | not_run      |
      | no key                 | 400    | key_required           | not_run      |
      | a broken key           | 400    | bad_request            | not_run      |
      | an undated plain key   | 400    | key_without_issue_time | may_have_run |

  Scenario: A missing deadline takes the service's
    When a caller sends a request with no deadline
    Then the answer has status 200 and verdict ran

  Scenario: Metrics and health are served to operators
    When an operator asks for metrics
    Then the metrics hold "borageramp_requests_total"
