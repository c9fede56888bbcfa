@wide
Feature: What always holds, over more entries
  Eight entries in three data centres, so that cuts can leave more than one
  entry on each side, and owners and majorities are spread.

  Scenario Outline: One fault: <fault>
    When callers work for <seconds> seconds while <fault>
    Then the history keeps every promise
    And at least <share> percent of the requests were answered

    Examples:
      | fault                              | seconds | share |
      | nothing fails                      | 3       | 99    |
      | three entries are cut off together | 9       | 40    |
      | an entry is replaced               | 6       | 60    |

  Scenario Outline: Two faults: <first> and <second>
    When callers work for <seconds> seconds while <first> and <second>
    Then the history keeps every promise
    And at least <share> percent of the requests were answered

    Examples:
      | first                              | second                              | seconds | share |
      | three entries are cut off together | an upstream is killed               | 9       | 30    |
      | operators race                     | two entries are cut from each other | 6       | 50    |
