//! Tests of parsing the budget headers of a turn.

use crate::lease::TurnBudget;

#[test]
fn valid_headers_are_parsed() {
    let turn_budget = TurnBudget::parse(Some("1080"), Some("1840,135")).unwrap();
    assert_eq!(turn_budget, TurnBudget { budget: 1080, max_units: 135 });
    assert_eq!(TurnBudget::parse(Some(" 0 "), Some("0, 7")).unwrap(), TurnBudget { budget: 0, max_units: 7 });
}

#[test]
fn invalid_headers_are_rejected() {
    let budgets =
        [None, Some(""), Some("-1"), Some("1.5"), Some("+5"), Some("ten"), Some("99999999999999999999999")];
    for budget in budgets {
        let error = TurnBudget::parse(budget, Some("1,1")).unwrap_err();
        assert_eq!(error.to_string(), "E510: the header `Budget` is missing or invalid", "{budget:?}");
    }
    let usages = [
        None,
        Some(""),
        Some("5"),
        Some("5,"),
        Some(",5"),
        Some("1,0"),
        Some("1,2,3"),
        Some("1,-2"),
        Some("x,2"),
    ];
    for usage in usages {
        let error = TurnBudget::parse(Some("10"), usage).unwrap_err();
        assert_eq!(error.to_string(), "E510: the header `Token-Usage` is missing or invalid", "{usage:?}");
    }
    assert!(TurnBudget::parse(Some("18446744073709551615"), Some("1,1")).is_err());
}
