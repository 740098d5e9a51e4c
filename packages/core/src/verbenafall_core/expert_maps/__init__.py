"""Expert maps of rank groups: selection and switching."""
